#include "nodes/change_feed_reader.hpp"

#include <charconv>
#include <utility>

#include "catalogue/fields.hpp"
#include "catalogue/file_version.hpp"

namespace spokewheel::nodes {
namespace {

template <class T>
bool parseNumber(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

}  // namespace

ChangeFeedReader::ChangeFeedReader(ChangeFeedSettings settings, catalogue::Catalogue& catalogue,
                                   LogEvent logEvent)
    : settings_(settings),
      catalogue_(catalogue),
      logEvent_(std::move(logEvent)),
      client_({4, 2, 30000, 1000}, gatewayDialect("")) {}

void ChangeFeedReader::onList(const ListUpdate& update) {
    if (update.form == ListForm::Failed) return;
    if (update.form != ListForm::Delta)
        for (auto& [node, feed] : feeds_) feed->listed = false;
    for (const auto& entry : update.entries) {
        if (entry.lifecycle == Lifecycle::Gone) {
            if (const auto feed = feeds_.find(entry.node); feed != feeds_.end()) feed->second->listed = false;
            continue;
        }
        auto& feed = feeds_[entry.node];
        if (!feed) feed = std::make_unique<Feed>();
        feed->shard = entry.shard;
        feed->listed = true;
        if (!feed->open && !feed->retryTimer.armed()) query(entry.node);
    }
    for (auto it = feeds_.begin(); it != feeds_.end();)
        it = !it->second->listed && !it->second->open ? feeds_.erase(it) : std::next(it);
}

bool ChangeFeedReader::complete() const { return unreadNodes() == 0; }
std::size_t ChangeFeedReader::unreadNodes() const {
    std::size_t n = 0;
    for (const auto& [node, feed] : feeds_) n += feed->listed && !feed->caughtUp;
    return n;
}

void ChangeFeedReader::query(const std::string& node) {
    auto& feed = *feeds_.at(node);
    auto request = std::make_shared<host::NodeRequest>();
    request->target = "/changes?after=" + std::to_string(feed.sequence) +
                      "&wait=" + std::to_string(static_cast<int>(feed.caughtUp ? settings_.waitMs : 0)) +
                      "&epoch=" + feed.epoch;
    request->maxResponseBytes = settings_.maxResponseBytes;
    feed.open = true;
    client_.send(node, std::move(request), {}, settings_.waitMs + 5000,
                 [this, node](host::AttemptResult result) { onAnswer(node, std::move(result)); });
}

void ChangeFeedReader::onAnswer(const std::string& node, host::AttemptResult result) {
    const auto found = feeds_.find(node);
    if (found == feeds_.end()) return;
    auto& feed = *found->second;
    feed.open = false;
    if (!feed.listed) {
        feeds_.erase(found);
        return;
    }
    if (std::exchange(feed.restart, false)) {
        feed.sequence = 0;
        return query(node);
    }
    bool epochChanged = false;
    const bool ok =
        result.outcome == Outcome::Served && result.status == 200 && apply(feed, result.body, epochChanged);
    if (!ok) {
        if (result.outcome == Outcome::Served)
            logEvent_("feed_unreadable", node, std::to_string(result.status));
        feed.retryTimer.arm(settings_.retryDelayMs, [this, node] { query(node); });
        return;
    }
    if (epochChanged) {
        logEvent_("feed_epoch", node, feed.epoch);
        catalogue_.forgetShard(feed.shard);
        // Versions on other shards that were superseded by the forgotten ones may be current again, so all
        // feeds are read from the start.
        for (auto& [other, otherFeed] : feeds_) otherFeed->restart = true;
    }
    query(node);
}

// The format is "epoch <name> <sequence> <more>", then one line for each change: sequence, volume, id,
// metadata. All of it is parsed and checked before anything is taken in.
bool ChangeFeedReader::apply(Feed& feed, const std::string& body, bool& epochChanged) {
    std::string_view text = body;
    auto head = catalogue::nextField(text, '\n');
    std::uint64_t upTo = 0;
    int more = 0;
    if (catalogue::nextField(head, ' ') != "epoch") return false;
    const std::string epoch(catalogue::nextField(head, ' '));
    if (epoch.empty() || !parseNumber(catalogue::nextField(head, ' '), upTo) || !parseNumber(head, more))
        return false;
    if (epoch != feed.epoch) {
        epochChanged = !feed.epoch.empty();
        feed.epoch = epoch;
        feed.sequence = 0;
        feed.caughtUp = feed.caughtUp && !epochChanged;
        if (epochChanged) return true;
    }
    std::vector<std::pair<std::string, catalogue::FileVersion>> found;
    while (!text.empty()) {
        auto line = catalogue::nextField(text, '\n');
        std::uint64_t sequence = 0;
        if (!parseNumber(catalogue::nextField(line, ' '), sequence)) return false;
        const std::string volume(catalogue::nextField(line, ' ')), id(catalogue::nextField(line, ' '));
        auto version = catalogue::decode(line);
        if (!version) continue;  // an object of another program, or of a later format
        version->id = id;
        version->shard = feed.shard;
        found.emplace_back(volume, std::move(*version));
    }
    for (auto& [volume, version] : found) catalogue_.addVersion(volume, std::move(version));
    feed.sequence = upTo;
    feed.caughtUp = feed.caughtUp || !more;
    return true;
}

}  // namespace spokewheel::nodes
