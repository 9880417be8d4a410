#include "fronts/rsync/basis.hpp"

#include <algorithm>

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;

Basis::Basis(Context& context, const TransferParameters& parameters, catalogue::FileVersionPtr version,
             std::function<void()> wake)
    : context_(context), parameters_(parameters), version_(std::move(version)), wake_(std::move(wake)) {}
Basis::~Basis() {
    if (loading_) parameters_.store->abandon(openRequest_);
}

void Basis::prepare() {
    const auto& v = *version_;
    auto& h = sums_.head;
    h.length = parameters_.options.blockSize > 0 ? parameters_.options.blockSize : blockLength(v.size);
    h.count = static_cast<std::int32_t>((v.size + static_cast<std::uint64_t>(h.length) - 1) /
                                        static_cast<std::uint64_t>(h.length));
    h.remainder = static_cast<std::int32_t>(v.size % static_cast<std::uint64_t>(h.length));
    h.sumBytes = static_cast<std::int32_t>(sumSize(parameters_.checksumKind));
    if (v.layout == catalogue::Layout::Inline) {
        pieces_ = {{v.shard, "o/" + v.id, v.size, v.digest}};
        pieceOffsets_ = {0};
        return checksumNextPiece();
    }
    loading_ = true;
    openRequest_ = parameters_.store->read(
        *parameters_.volume, v.shard, "o/" + v.id, kMaxManifestBytes, v.size, "",
        [self = weak_from_this()](ReadResult r) {
            const auto b = self.lock();
            if (!b) return;
            b->loading_ = false;
            const auto pieces = r.ok ? catalogue::decodePieces(r.body, b->version_->size) : std::nullopt;
            if (!pieces) {
                b->error_ = r.ok ? "its list of pieces can't be read" : r.error;
                return b->wake_();
            }
            b->pieces_ = *pieces;
            std::uint64_t offset = 0;
            for (const auto& p : b->pieces_) {
                b->pieceOffsets_.push_back(offset);
                offset += p.size;
            }
            b->checksumNextPiece();
        });
}

void Basis::checksumNextPiece() {
    if (nextPiece_ < pieces_.size())
        return loadPiece(nextPiece_, [this] {
            addBlockSums(cachedBytes_);
            ++nextPiece_;
            checksumNextPiece();
        });
    if (!partialBlock_.empty()) {
        RollingSum r;
        r.start(partialBlock_);
        sums_.rolling.push_back(r.value());
        sums_.strong += blockSum(parameters_.checksumKind, md5, partialBlock_, parameters_.checksumSeed,
                                 parameters_.seedFirst());
        partialBlock_.clear();
    }
    ready_ = true;
    wake_();
}

void Basis::addBlockSums(std::string_view bytes) {
    const auto length = static_cast<std::size_t>(sums_.head.length);
    const auto add = [&](std::string_view block) {
        RollingSum r;
        r.start(block);
        sums_.rolling.push_back(r.value());
        sums_.strong +=
            blockSum(parameters_.checksumKind, md5, block, parameters_.checksumSeed, parameters_.seedFirst());
    };
    if (!partialBlock_.empty()) {
        const auto take = std::min(bytes.size(), length - partialBlock_.size());
        partialBlock_ += bytes.substr(0, take);
        bytes.remove_prefix(take);
        if (partialBlock_.size() < length) return;
        add(partialBlock_);
        partialBlock_.clear();
    }
    for (; bytes.size() >= length; bytes.remove_prefix(length)) add(bytes.substr(0, length));
    partialBlock_ = bytes;
}

void Basis::loadPiece(std::size_t piece, std::function<void()> then) {
    const auto& p = pieces_[piece];
    loading_ = true;
    lease_ = context_.memory.acquire(p.size);
    openRequest_ =
        parameters_.store->read(*parameters_.volume, p.shard, p.object, p.size, version_->size, p.digest,
                                [self = weak_from_this(), piece, then = std::move(then)](ReadResult r) {
                                    const auto b = self.lock();
                                    if (!b) return;
                                    b->loading_ = false;
                                    if (!r.ok) {
                                        b->error_ = r.error;
                                        return b->wake_();
                                    }
                                    b->cachedBytes_ = std::move(r.body);
                                    b->cachedPiece_ = piece;
                                    then();
                                });
}

std::size_t Basis::lengthOfBlock(std::int32_t block) const {
    const auto& h = sums_.head;
    return static_cast<std::size_t>(block == h.count - 1 && h.remainder ? h.remainder : h.length);
}

bool Basis::appendBlock(std::int32_t block, std::size_t& done, std::string& out) {
    if (failed() || loading_) return false;
    const auto length = lengthOfBlock(block);
    while (done < length) {
        const auto offset =
            static_cast<std::uint64_t>(block) * static_cast<std::uint64_t>(sums_.head.length) + done;
        const auto piece =
            static_cast<std::size_t>(std::upper_bound(pieceOffsets_.begin(), pieceOffsets_.end(), offset) -
                                     pieceOffsets_.begin()) -
            1;
        if (piece != cachedPiece_) {
            loadPiece(piece, [this] { wake_(); });
            return false;
        }
        const auto from = static_cast<std::size_t>(offset - pieceOffsets_[piece]);
        const auto n = std::min(length - done, cachedBytes_.size() - from);
        out.append(cachedBytes_, from, n);
        done += n;
    }
    return true;
}

void Basis::dropCache() {
    cachedBytes_.clear();
    cachedBytes_.shrink_to_fit();
    cachedPiece_ = SIZE_MAX;
    lease_.release();
}

}  // namespace spokewheel::fronts::rsync
