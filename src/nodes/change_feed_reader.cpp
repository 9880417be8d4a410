#include "nodes/change_feed_reader.hpp"

#include <charconv>
#include <utility>

#include "catalogue/fields.hpp"
#include "catalogue/file_version.hpp"

namespace spokewheel::nodes {
namespace {

template <class T>
bool number(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

}  // namespace

ChangeFeedReader::ChangeFeedReader(ChangeFeedSettings settings, catalogue::Catalogue& into, Note note)
    : settings_(settings),
      into_(into),
      note_(std::move(note)),
      client_({4, 2, 30000, 1000}, gatewayDialect("")) {}

void ChangeFeedReader::onList(const ListUpdate& update) {
    if (update.form == ListForm::Failed) return;
    if (update.form != ListForm::Delta)
        for (auto& [node, f] : follows_) f->listed = false;
    for (const auto& e : update.entries) {
        if (e.lifecycle == Lifecycle::Gone) {
            if (const auto f = follows_.find(e.node); f != follows_.end()) f->second->listed = false;
            continue;
        }
        auto& f = follows_[e.node];
        if (!f) f = std::make_unique<Follow>();
        f->shard = e.shard;
        f->listed = true;
        if (!f->open && !f->again.armed()) ask(e.node);
    }
    for (auto it = follows_.begin(); it != follows_.end();)
        it = !it->second->listed && !it->second->open ? follows_.erase(it) : std::next(it);
}

bool ChangeFeedReader::complete() const { return unreadNodes() == 0; }
std::size_t ChangeFeedReader::unreadNodes() const {
    std::size_t n = 0;
    for (const auto& [node, f] : follows_) n += f->listed && !f->caughtUp;
    return n;
}

void ChangeFeedReader::ask(const std::string& node) {
    auto& f = *follows_.at(node);
    auto x = std::make_shared<host::NodeRequest>();
    x->target = "/changes?after=" + std::to_string(f.after) +
                "&wait=" + std::to_string(static_cast<int>(f.caughtUp ? settings_.waitMs : 0)) +
                "&epoch=" + f.epoch;
    x->maxResponseBytes = settings_.maxResponseBytes;
    f.open = true;
    client_.send(node, std::move(x), {}, settings_.waitMs + 5000,
                 [this, node](host::AttemptResult result) { onAnswer(node, std::move(result)); });
}

void ChangeFeedReader::onAnswer(const std::string& node, host::AttemptResult result) {
    const auto found = follows_.find(node);
    if (found == follows_.end()) return;
    auto& f = *found->second;
    f.open = false;
    if (!f.listed) {
        follows_.erase(found);
        return;
    }
    if (std::exchange(f.restart, false)) {
        f.after = 0;
        return ask(node);
    }
    bool anew = false;
    const bool fine =
        result.outcome == Outcome::Served && result.status == 200 && apply(f, result.body, anew);
    if (!fine) {
        if (result.outcome == Outcome::Served) note_("feed_unreadable", node, std::to_string(result.status));
        f.again.arm(settings_.againMs, [this, node] { ask(node); });
        return;
    }
    if (anew) {
        note_("feed_epoch", node, f.epoch);
        into_.forgetShard(f.shard);
        // What another shard had lost to this one's versions may be shown again: read all from the start.
        for (auto& [other, o] : follows_) o->restart = true;
    }
    ask(node);
}

// "epoch <name> <sequence> <more>", then a line a change: sequence, volume, id, metadata. All of it is read
// and checked before any of it counts.
bool ChangeFeedReader::apply(Follow& f, const std::string& body, bool& anew) {
    std::string_view text = body;
    auto head = catalogue::nextField(text, '\n');
    std::uint64_t upTo = 0;
    int more = 0;
    if (catalogue::nextField(head, ' ') != "epoch") return false;
    const std::string epoch(catalogue::nextField(head, ' '));
    if (epoch.empty() || !number(catalogue::nextField(head, ' '), upTo) || !number(head, more)) return false;
    if (epoch != f.epoch) {
        anew = !f.epoch.empty();
        f.epoch = epoch;
        f.after = 0;
        f.caughtUp = f.caughtUp && !anew;
        if (anew) return true;
    }
    std::vector<std::pair<std::string, catalogue::FileVersion>> found;
    while (!text.empty()) {
        auto line = catalogue::nextField(text, '\n');
        std::uint64_t sequence = 0;
        if (!number(catalogue::nextField(line, ' '), sequence)) return false;
        const std::string volume(catalogue::nextField(line, ' ')), id(catalogue::nextField(line, ' '));
        auto version = catalogue::decode(line);
        if (!version) continue;  // an object of somebody else's, or of a later form
        version->id = id;
        version->shard = f.shard;
        found.emplace_back(volume, std::move(*version));
    }
    for (auto& [volume, version] : found) into_.addVersion(volume, std::move(version));
    f.after = upTo;
    f.caughtUp = f.caughtUp || !more;
    return true;
}

}  // namespace spokewheel::nodes
