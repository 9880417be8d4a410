#include "registry/node_list_poller.hpp"

#include <glib.h>

#include <charconv>
#include <filesystem>
#include <map>

namespace spokewheel::registry {
namespace {

constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;

bool sameEntry(const NodeEntry& a, const NodeEntry& b) {
    return a.node == b.node && a.zone == b.zone && a.lifecycle == b.lifecycle && a.shard == b.shard &&
           a.startedMs == b.startedMs;
}

}  // namespace

std::vector<NodeEntry> diffNodeLists(const std::vector<NodeEntry>& before,
                                     const std::vector<NodeEntry>& after) {
    std::map<std::string, const NodeEntry*> old;
    for (const auto& e : before) old[e.node] = &e;
    std::vector<NodeEntry> out;
    for (const auto& e : after) {
        const auto o = old.find(e.node);
        if (o == old.end() || !sameEntry(*o->second, e)) out.push_back(e);
        if (o != old.end()) old.erase(o);
    }
    for (const auto& [node, e] : old) {
        out.push_back(*e);
        out.back().lifecycle = Lifecycle::Gone;
    }
    return out;
}

NodeListPoller::NodeListPoller(const io::Address& registry, std::string cacheFile, std::uint64_t seed,
                               Update update, Fault fault, std::function<void()> onContact)
    : registry_(registry),
      cacheFile_(std::move(cacheFile)),
      update_(std::move(update)),
      fault_(std::move(fault)),
      onContact_(std::move(onContact)),
      poll_(seed) {
    if (!cacheFile_.empty() && std::filesystem::exists(cacheFile_)) {
        config::ConfigErrors errors;
        auto list = config::readNodeList(cacheFile_, errors);
        if (errors.empty()) {
            known_ = list.entries;
            update_({ListForm::Cached, std::move(list.entries)});
        } else fault_("cached list: " + errors.front().text());
    }
    query();
}

NodeListPoller::~NodeListPoller() {
    if (connection_) connection_->close();
}

void NodeListPoller::pollNow() {
    if (!connection_) query();
}

void NodeListPoller::query() {
    timer_.cancel();
    parser_ = wire::http::Parser(wire::http::Parser::Kind::Response, {16 * 1024, 64, kMaxBodyBytes});
    body_.clear();
    connection_ = io::Connection::dial(registry_);
    if (!connection_->open()) return failed("cannot connect to the registry");
    connection_->setHandler({[this] {
                                 connection_->write(wire::http::requestHead(
                                     "GET",
                                     "/nodes?index=" + std::to_string(poll_.index()) +
                                         "&wait=" + std::to_string(static_cast<int>(PollState::kBlockMs)),
                                     registry_.text(), {{"Connection", "close"}}, std::nullopt));
                             },
                             [this](std::string_view bytes) { onData(bytes); },
                             {},
                             [this](io::DisconnectReason) { failed("registry closed the connection"); }});
    timer_.arm(PollState::kBlockMs + PollState::kAnswerGraceMs,
               [this] { failed("registry did not answer"); });
}

void NodeListPoller::failed(const std::string& message) {
    if (connection_) connection_->close();
    connection_.reset();
    fault_(message);
    update_({ListForm::Failed, {}});
    timer_.arm(poll_.nextDelayMs(true), [this] { query(); });
}

void NodeListPoller::onData(std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    std::string_view part;
    for (;;) switch (parser_.next(bytes, part)) {
            case Result::NeedMore:
                return;
            case Result::Head:
                break;
            case Result::Body:
                body_ += part;
                break;
            case Result::End:
                return onAnswer();
            case Result::Invalid:
                return failed("registry: " + parser_.error());
        }
}

void NodeListPoller::onAnswer() {
    const auto& head = parser_.head();
    const auto* text = head.find("X-Index");
    std::uint64_t index = 0;
    const bool counted =
        text && std::from_chars(text->data(), text->data() + text->size(), index).ec == std::errc();
    if (head.status != 200 || !counted)
        return failed("registry answered with status " + std::to_string(head.status) +
                      (counted ? "" : " and no index"));
    config::ConfigErrors errors;
    auto list = config::parseNodeList(body_, "list of " + registry_.text(), errors);
    if (!errors.empty()) return failed(errors.front().text());
    connection_->close();
    connection_.reset();
    writeCache(body_);
    if (poll_.onAnswer(index)) update_({ListForm::Full, list.entries});
    else if (auto changed = diffNodeLists(known_, list.entries); !changed.empty())
        update_({ListForm::Delta, std::move(changed)});
    known_ = std::move(list.entries);
    if (onContact_) onContact_();
    timer_.arm(poll_.nextDelayMs(false), [this] { query(); });
}

// Writes a temporary file and renames it, so that a crash leaves either the old list or the new one.
void NodeListPoller::writeCache(const std::string& text) const {
    if (cacheFile_.empty()) return;
    GError* error = nullptr;
    if (!g_file_set_contents(cacheFile_.c_str(), text.data(), static_cast<gssize>(text.size()), &error)) {
        fault_(std::string("cannot write the list cache: ") + error->message);
        g_clear_error(&error);
    }
}

}  // namespace spokewheel::registry
