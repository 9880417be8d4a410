#include "limit_share.hpp"

#include <algorithm>

namespace spokewheel {
namespace {

constexpr double kStartPart = 0.25;  // of a share: kept back in running, held at a (re)start
constexpr double kLentForMs = 375;   // from a loan's departure to its end at the borrower, at most

}  // namespace

void LimitShare::begin(TokenBucket bucket, int hosts, double filledAtMs, double held) {
    bucket_ = bucket;
    hosts_ = hosts;
    filledAtMs_ = filledAtMs;
    own_ = held;
}

void LimitShare::refill(double nowMs) {
    const double seconds = (nowMs - filledAtMs_) / 1000;
    const double fill = bucket_.rate * seconds / (2.0 * hosts_);
    filledAtMs_ = nowMs;
    while (!lentOfOwn_.empty() && lentOfOwn_.front().untilMs <= nowMs) lentOfOwn_.pop_front();
    while (!borrowed_.empty() && borrowed_.front().untilMs <= nowMs) borrowed_.pop_front();
    double ownMost = half();
    for (const auto& lease : lentOfOwn_) ownMost -= lease.units;
    // What an idle host's own half can't hold goes to the half that is lent.
    const double over = std::max(0.0, own_ + fill - std::max(0.0, ownMost));
    own_ += fill - over;
    // What is lent may be spent a subperiod later while this part fills again: leave that room.
    const double room = hosts_ > 1 ? kLentForMs / 1000 * bucket_.rate / (2.0 * hosts_) : 0;
    const double lendableMost = std::max(0.0, (1 - 2 * kStartPart) * half() - room);
    const double spill = std::max(0.0, lendable_ + fill + over - lendableMost);
    lendable_ += fill + over - spill;
    own_ += std::min(spill, std::max(0.0, ownMost - own_));
}

double LimitShare::borrowed() const {
    double units = 0;
    for (const auto& lease : borrowed_) units += lease.units;
    return units;
}

double LimitShare::available() const { return own_ + lendable_ + borrowed(); }

void LimitShare::draw(double units) {
    for (auto& lease : borrowed_) {
        const double part = std::min(units, lease.units);
        lease.units -= part;
        units -= part;
    }
    const double part = std::min(units, lendable_);
    lendable_ -= part;
    own_ -= units - part;
}

void LimitShare::lend(double units, double untilMs) {
    const double ofOwn = std::max(0.0, units - lendable_);
    lendable_ -= units - ofOwn;
    own_ -= ofOwn;
    if (ofOwn > 0) lentOfOwn_.push_back({untilMs, ofOwn});
}

}  // namespace spokewheel
