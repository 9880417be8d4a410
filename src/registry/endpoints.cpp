#include "registry/endpoints.hpp"

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

}  // namespace

bool readEndpoints(std::string_view text, Endpoints& out, std::string& words) {
    try {
        const auto list = json::parse(text);
        Endpoints read;
        read.revision = list.at("revision").get<std::int64_t>();
        read.complete = list.at("complete").get<bool>();
        for (const auto& m : list.at("members")) {
            NodeEntry e;
            e.node = m.at("id").get<std::string>();
            if (e.node.empty()) throw std::runtime_error("a member without an id");
            e.lifecycle = lifecycleOf(m.at("phase").get<std::string>());
            e.zone = m.value("locality", std::string());
            e.shard = m.value("cell", -1);
            e.sizeHint = m.value("size", 1.0);
            e.cameUpMs = m.value("up_since_ms", 0.0);
            if (e.lifecycle != Lifecycle::Gone) read.addresses[e.node] = m.at("host_port").get<std::string>();
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
