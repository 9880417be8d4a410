#include "fronts/rsync/basis.hpp"

#include <algorithm>

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;

Basis::Basis(Context& context, const Agreed& agreed, catalogue::FileVersionPtr version,
             std::function<void()> wake)
    : context_(context), agreed_(agreed), version_(std::move(version)), wake_(std::move(wake)) {}
Basis::~Basis() {
    if (loading_) agreed_.store->abandon(request_);
}

void Basis::prepare() {
    const auto& v = *version_;
    auto& h = sums_.head;
    h.length = agreed_.options.blockSize > 0 ? agreed_.options.blockSize : blockLength(v.size);
    h.count = static_cast<std::int32_t>((v.size + static_cast<std::uint64_t>(h.length) - 1) /
                                        static_cast<std::uint64_t>(h.length));
    h.remainder = static_cast<std::int32_t>(v.size % static_cast<std::uint64_t>(h.length));
    h.sumBytes = static_cast<std::int32_t>(sizeOf(agreed_.sums));
    if (v.layout == catalogue::Layout::Inline) {
        pieces_ = {{v.shard, "o/" + v.id, v.size, v.digest}};
        starts_ = {0};
        return next();
    }
    loading_ = true;
    request_ = agreed_.store->read(
        *agreed_.volume, v.shard, "o/" + v.id, kMaxManifestBytes, v.size, "",
        [self = weak_from_this()](ReadResult r) {
            const auto b = self.lock();
            if (!b) return;
            b->loading_ = false;
            const auto pieces = r.ok ? catalogue::decodePieces(r.body, b->version_->size) : std::nullopt;
            if (!pieces) {
                b->fault_ = r.ok ? "its list of pieces can't be read" : r.error;
                return b->wake_();
            }
            b->pieces_ = *pieces;
            std::uint64_t at = 0;
            for (const auto& p : b->pieces_) {
                b->starts_.push_back(at);
                at += p.size;
            }
            b->next();
        });
}

void Basis::next() {
    if (at_ < pieces_.size())
        return load(at_, [this] {
            addSums(cache_);
            ++at_;
            next();
        });
    if (!tail_.empty()) {
        Rolling r;
        r.start(tail_);
        sums_.rolling.push_back(r.value());
        sums_.strong += blockSum(agreed_.sums, md5, tail_, agreed_.seed, agreed_.seedFirst());
        tail_.clear();
    }
    ready_ = true;
    wake_();
}

void Basis::addSums(std::string_view bytes) {
    const auto length = static_cast<std::size_t>(sums_.head.length);
    const auto add = [&](std::string_view block) {
        Rolling r;
        r.start(block);
        sums_.rolling.push_back(r.value());
        sums_.strong += blockSum(agreed_.sums, md5, block, agreed_.seed, agreed_.seedFirst());
    };
    if (!tail_.empty()) {
        const auto take = std::min(bytes.size(), length - tail_.size());
        tail_ += bytes.substr(0, take);
        bytes.remove_prefix(take);
        if (tail_.size() < length) return;
        add(tail_);
        tail_.clear();
    }
    for (; bytes.size() >= length; bytes.remove_prefix(length)) add(bytes.substr(0, length));
    tail_ = bytes;
}

void Basis::load(std::size_t piece, std::function<void()> then) {
    const auto& p = pieces_[piece];
    loading_ = true;
    lease_ = context_.memory.acquire(p.size);
    request_ = agreed_.store->read(*agreed_.volume, p.shard, p.object, p.size, version_->size, p.digest,
                                   [self = weak_from_this(), piece, then = std::move(then)](ReadResult r) {
                                       const auto b = self.lock();
                                       if (!b) return;
                                       b->loading_ = false;
                                       if (!r.ok) {
                                           b->fault_ = r.error;
                                           return b->wake_();
                                       }
                                       b->cache_ = std::move(r.body);
                                       b->cached_ = piece;
                                       then();
                                   });
}

std::size_t Basis::lengthOf(std::int32_t block) const {
    const auto& h = sums_.head;
    return static_cast<std::size_t>(block == h.count - 1 && h.remainder ? h.remainder : h.length);
}

bool Basis::copy(std::int32_t block, std::size_t& done, std::string& out) {
    if (failed() || loading_) return false;
    const auto length = lengthOf(block);
    while (done < length) {
        const auto offset =
            static_cast<std::uint64_t>(block) * static_cast<std::uint64_t>(sums_.head.length) + done;
        const auto piece = static_cast<std::size_t>(std::upper_bound(starts_.begin(), starts_.end(), offset) -
                                                    starts_.begin()) -
                           1;
        if (piece != cached_) {
            load(piece, [this] { wake_(); });
            return false;
        }
        const auto from = static_cast<std::size_t>(offset - starts_[piece]);
        const auto n = std::min(length - done, cache_.size() - from);
        out.append(cache_, from, n);
        done += n;
    }
    return true;
}

void Basis::dropCache() {
    cache_.clear();
    cache_.shrink_to_fit();
    cached_ = SIZE_MAX;
    lease_.release();
}

}  // namespace spokewheel::fronts::rsync
