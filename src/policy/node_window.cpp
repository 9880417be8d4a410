#include "node_window.hpp"

#include <algorithm>

namespace spokewheel {
namespace {

// The window narrows at kNarrowAtMultiple of the recent best latency, and widens below kWidenBelow of that.
constexpr double kNarrowAtMultiple = 2.0, kWidenBelow = 0.75;
constexpr double kBestDrift = 1.001;  // growth of the recent best with each response
constexpr double kNarrowAtTargetUse = 0.3;
constexpr double kMinSmoothing = 0.1;  // of the running means
constexpr int kBestFromResponses = 6, kBaselineResponses = 10;

}  // namespace

void NodeWindow::onServed(const Response& response, int inflight, double nowMs) {
    const double msPerUnit = response.durationMs / std::max(1.0, response.units);
    // Compares running means, not single responses: one short response does not show spare capacity.
    ++responses_;
    const double smoothing = std::max(kMinSmoothing, 1.0 / responses_);
    msPerUnit_ += smoothing * (msPerUnit - msPerUnit_);
    bestMsPerUnit_ =
        responses_ <= kBestFromResponses ? msPerUnit_ : std::min(bestMsPerUnit_ * kBestDrift, msPerUnit_);
    // If a node was busy from the start, its best latency is no reference; the latency targets are: the more
    // of its target a request spends in the node, the less time is left to choose among the waiting ones.
    targetUse_ += smoothing * (response.durationMs / response.latencyTargetMs - targetUse_);
    const double overload =
        std::max(msPerUnit_ / bestMsPerUnit_ / kNarrowAtMultiple, targetUse_ / kNarrowAtTargetUse);
    if (overload < kWidenBelow && inflight + 1 >= size_ - 1) size_ += 1 / size_;
    if (overload > 1 && response.sentAtMs > narrowedAtMs_) {
        size_ *= std::clamp(1 / overload, 0.5, 0.9);
        narrowedAtMs_ = nowMs;
    }
    size_ = std::clamp(size_, kMin, kMax);
}

void NodeWindow::onRejected() { size_ = std::max(kMin, size_ / 2); }

bool NodeWindow::hasBaseline() const { return responses_ >= kBaselineResponses; }

}  // namespace spokewheel
