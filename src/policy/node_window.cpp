#include "node_window.hpp"

#include <algorithm>

namespace spokewheel {
namespace {

constexpr double kNarrowAt = 2.0, kWidenBelow = 0.75;  // of the recent best, and of the first
constexpr double kBestDrift = 1.001;                   // an answer
constexpr double kAimPart = 0.3;
constexpr double kLeastStep = 0.1;  // of the running means
constexpr int kSettledFrom = 6, kKnownFrom = 10;

}  // namespace

void NodeWindow::served(const Answer& answer, int inflight, double nowMs) {
    const double msPerUnit = answer.tookMs / std::max(1.0, answer.units);
    // A running mean against the lowest that it lately had: a single short answer is luck, not room.
    ++answers_;
    const double step = std::max(kLeastStep, 1.0 / answers_);
    msPerUnit_ += step * (msPerUnit - msPerUnit_);
    bestMsPerUnit_ =
        answers_ <= kSettledFrom ? msPerUnit_ : std::min(bestMsPerUnit_ * kBestDrift, msPerUnit_);
    // Where a node was busy from the start its best is no guide; the aims are: time in the node past a part
    // of the aim leaves no time to choose among what is held.
    partOfAim_ += step * (answer.tookMs / answer.latencyTargetMs - partOfAim_);
    const double over = std::max(msPerUnit_ / bestMsPerUnit_ / kNarrowAt, partOfAim_ / kAimPart);
    if (over < kWidenBelow && inflight + 1 >= size_ - 1) size_ += 1 / size_;
    if (over > 1 && answer.sentAtMs > narrowedAtMs_) {
        size_ *= std::clamp(1 / over, 0.5, 0.9);
        narrowedAtMs_ = nowMs;
    }
    size_ = std::clamp(size_, kLeast, kMost);
}

void NodeWindow::turnedAway() { size_ = std::max(kLeast, size_ / 2); }

bool NodeWindow::known() const { return answers_ >= kKnownFrom; }

}  // namespace spokewheel
