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

// Figures are checked before they are cast: a number that doesn't fit is no number.
std::int64_t whole(const json& value, const char* key, std::int64_t least, std::int64_t most) {
    if (!value.is_number_integer() || (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX))
        throw std::runtime_error(std::string(key) + ": a whole number is wanted");
    const auto n = value.get<std::int64_t>();
    if (n < least || n > most) throw std::runtime_error(std::string(key) + " is out of range");
    return n;
}
double figure(const json& member, const char* key, double otherwise) {
    const auto found = member.find(key);
    if (found == member.end()) return otherwise;
    const double n = found->is_number() ? found->get<double>() : -1;
    if (!(n >= 0 && n < 1e15))
        throw std::runtime_error(std::string(key) + ": a number of zero or more is wanted");
    return n;
}

void readMember(const json& m, NodeEntry& e, Endpoints& read) {
    auto id = m.at("id").get<std::string>();
    if (id.empty()) throw std::runtime_error("a member without an id");
    e.node = std::move(id);
    e.lifecycle = lifecycleOf(m.at("phase").get<std::string>());
    e.zone = m.value("locality", std::string());
    if (const auto cell = m.find("cell"); cell != m.end())
        e.shard = static_cast<int>(whole(*cell, "cell", -1, 1 << 30));
    e.sizeHint = figure(m, "size", 1);
    e.cameUpMs = figure(m, "up_since_ms", 0);
    if (e.lifecycle != Lifecycle::Gone) read.addresses[e.node] = m.at("host_port").get<std::string>();
}

}  // namespace

bool parseEndpoints(std::string_view text, Endpoints& out, std::string& words) {
    try {
        const auto list = json::parse(text);
        Endpoints read;
        read.revision = whole(list.at("revision"), "revision", 0, INT64_MAX);
        read.complete = list.at("complete").get<bool>();
        if (!list.at("members").is_array()) throw std::runtime_error("members: a list is wanted");
        for (const auto& m : list.at("members")) {
            NodeEntry e;
            try {
                readMember(m, e, read);
            } catch (const std::exception& fault) {
                words = fault.what();
                ++read.unreadable;
                if (e.node.empty()) continue;
                e.lifecycle = Lifecycle::Draining;
            }
            read.entries.push_back(std::move(e));
        }
        out = std::move(read);
        return true;
    } catch (const std::exception& e) {
        words = e.what();
        return false;
    }
}

}  // namespace spokewheel::registry
