#include "platform/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "platform/decide_budget.hpp"
#include "settings/flat_settings.hpp"

namespace spokewheel::platform {
namespace {

using nlohmann::json;

std::string scalarText(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.is_null() ? std::string() : value.dump();
}

// Flattens nested JSON to the dotted paths of the simulator's protocol: "classes.count" and "classes.0.name"
// for a list of objects; any other list becomes one value, joined by commas.
void flatten(const json& value, const std::string& path, settings::FlatSettings::Values& out, int depth = 0) {
    constexpr int kMaxDepth = 16;
    if (depth > kMaxDepth) throw settings::SettingError(path.substr(0, 100), "at most 16 levels of nesting");
    if (value.is_object()) {
        for (const auto& [key, inner] : value.items())
            flatten(inner, path.empty() ? key : path + "." + key, out, depth + 1);
        return;
    }
    if (!value.is_array()) {
        if (!value.is_null()) out[path] = scalarText(value);
        return;
    }
    if (!value.empty() && value.front().is_object()) {
        out[path + ".count"] = std::to_string(value.size());
        for (std::size_t i = 0; i < value.size(); ++i)
            flatten(value[i], path + "." + std::to_string(i), out, depth + 1);
        return;
    }
    std::string joined;
    for (const auto& item : value) joined += (joined.empty() ? "" : ",") + scalarText(item);
    out[path] = joined;
}

// Typed access to the top-level keys of the file; errors name the file and the key.
class ConfigFile {
  public:
    ConfigFile(std::string path, const json& root) : path_(std::move(path)), root_(root) {}
    [[noreturn]] void fail(const std::string& key, const std::string& expected) const {
        throw std::runtime_error(path_ + ": '" + key + "': expected " + expected);
    }
    std::string text(const char* key, const std::string& fallback) const {
        const auto found = root_.find(key);
        if (found == root_.end()) return fallback;
        if (!found->is_string()) fail(key, "a string");
        return found->get<std::string>();
    }
    io::Address address(const char* key, const std::string& fallback, bool required) const {
        io::Address out;
        const auto value = text(key, fallback);
        if (value.empty() && !required) return out;
        if (!io::parseNumericAddress(value, out)) fail(key, "a numeric address and port");
        return out;
    }

  private:
    std::string path_;
    const json& root_;
};

}  // namespace

Configuration readConfiguration(const std::string& path, const Environment& environment) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw std::runtime_error(path + ": cannot be opened");
    return parseConfiguration({std::istreambuf_iterator<char>(in), {}}, path, environment);
}

Configuration parseConfiguration(const std::string& bytes, const std::string& path,
                                 const Environment& environment) {
    json root;
    try {
        root = json::parse(bytes);
    } catch (const json::parse_error& e) {
        const auto offset = std::min(e.byte, bytes.size());
        const auto line =
            1 + std::count(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(offset), '\n');
        throw std::runtime_error(path + ":" + std::to_string(line) + ": " + e.what());
    }
    if (!root.is_object()) throw std::runtime_error(path + ": expected a JSON object");
    const ConfigFile file(path, root);
    Configuration c;
    c.name = file.text("name", environment.name);
    c.listen = file.address("listen", environment.listen, true);
    c.discovery = file.address("discovery", environment.discovery, true);
    const auto seed = file.text("seed", "0");
    const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
    if (error != std::errc() || end != seed.data() + seed.size()) file.fail("seed", "hex digits");
    c.peerListen = file.address("peer_listen", "", false);
    c.peersAll = file.address("peers_all", "", false);
    if (const auto peers = root.find("peers"); peers != root.end()) {
        if (!peers->is_array()) file.fail("peers", "a list");
        for (const auto& item : *peers) {
            io::Address address;
            if (!item.is_string() || !io::parseNumericAddress(item.get<std::string>(), address))
                file.fail("peers", "numeric addresses and ports");
            c.peers.push_back(address);
        }
    }
    if (const auto limits = root.find("limits"); limits != root.end()) {
        if (!limits->is_object()) file.fail("limits", "an object");
        const auto sockets = limits->find("sockets");
        if (sockets != limits->end()) {
            if (!sockets->is_number_integer() || sockets->get<std::int64_t>() < 1)
                file.fail("limits.sockets", "a positive integer");
            c.sockets = sockets->get<std::size_t>();
        }
        const auto memory = limits->find("memory_mb");
        if (memory != limits->end()) {
            if (!memory->is_number_integer() || memory->get<std::int64_t>() < 1)
                file.fail("limits.memory_mb", "a positive integer");
            c.memoryMb = std::min<std::size_t>(memory->get<std::size_t>(), 1 << 20);
        }
    }
    c.known.revision = -1;
    if (const auto known = root.find("known"); known != root.end()) {
        std::string reason;
        if (!registry::parseEndpoints(known->dump(), c.known, reason) || c.known.unreadable)
            file.fail("known", "a valid node list: " + reason);
    }
    const auto found = root.find("settings");
    if (found == root.end() || !found->is_object()) file.fail("settings", "an object");
    try {
        settings::FlatSettings::Values values;
        flatten(*found, "", values);
        const settings::FlatSettings paths(std::move(values));
        c.schedulerSettings = settings::settingsFrom(paths);
        paths.get("ceilings.dial-timeout-ms", c.dialTimeoutMs);
        paths.get("ceilings.conn-idle-ms", c.connIdleMs);
        c.schedulerSettings.reportLimitAccounts = true;
        c.schedulerSettings.stateBytes = stateMemory(c.memoryMb);
        c.schedulerSettings.maxOpen = maxOpenRequests(c.sockets, c.schedulerSettings.maxOpen);
    } catch (const settings::SettingError& fault) {
        file.fail("settings." + fault.path, fault.expected);
    }
    return c;
}

}  // namespace spokewheel::platform
