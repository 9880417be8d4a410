#include "registry/endpoints.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace spokewheel::registry {
namespace {

using nlohmann::json;

Lifecycle lifecycleOf(const std::string& phase) {
    if (phase == "up") return Lifecycle::Ready;
    if (phase == "draining") return Lifecycle::Draining;
    if (phase == "removed") return Lifecycle::Gone;
    throw std::runtime_error("phase '" + phase + "' is not up, draining or removed");
}

// Checks the range before the conversion: a number that does not fit is an error.
std::int64_t integerOf(const json& value, const char* key, std::int64_t min, std::int64_t max) {
    if (!value.is_number_integer() || (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX))
        throw std::runtime_error(std::string(key) + ": must be an integer");
    const auto n = value.get<std::int64_t>();
    if (n < min || n > max) throw std::runtime_error(std::string(key) + " is out of range");
    return n;
}
double numberAt(const json& member, const char* key, double defaultValue) {
    const auto found = member.find(key);
    if (found == member.end()) return defaultValue;
    const double n = found->is_number() ? found->get<double>() : -1;
    if (!(n >= 0 && n < 1e15)) throw std::runtime_error(std::string(key) + ": must be a number of 0 or more");
    return n;
}

// Sets entry.node first, so that the caller knows the id even if a later field throws.
void parseMember(const json& member, NodeEntry& entry, Endpoints& parsed) {
    auto id = member.at("id").get<std::string>();
    if (id.empty()) throw std::runtime_error("a member has no id");
    entry.node = std::move(id);
    entry.lifecycle = lifecycleOf(member.at("phase").get<std::string>());
    entry.zone = member.value("locality", std::string());
    if (const auto cell = member.find("cell"); cell != member.end())
        entry.shard = static_cast<int>(integerOf(*cell, "cell", -1, 1 << 30));
    entry.sizeHint = numberAt(member, "size", 1);
    entry.startedMs = numberAt(member, "up_since_ms", 0);
    if (entry.lifecycle != Lifecycle::Gone)
        parsed.addresses[entry.node] = member.at("host_port").get<std::string>();
}

}  // namespace

bool parseEndpoints(std::string_view text, Endpoints& out, std::string& error) {
    try {
        const auto list = json::parse(text);
        Endpoints parsed;
        parsed.revision = integerOf(list.at("revision"), "revision", 0, INT64_MAX);
        parsed.complete = list.at("complete").get<bool>();
        if (!list.at("members").is_array()) throw std::runtime_error("members: must be a list");
        for (const auto& member : list.at("members")) {
            NodeEntry entry;
            try {
                parseMember(member, entry, parsed);
            } catch (const std::exception& invalid) {
                error = invalid.what();
                ++parsed.unreadable;
                if (entry.node.empty()) continue;
                entry.lifecycle = Lifecycle::Draining;
            }
            parsed.entries.push_back(std::move(entry));
        }
        out = std::move(parsed);
        return true;
    } catch (const std::exception& e) {
        error = e.what();
        return false;
    }
}

}  // namespace spokewheel::registry
