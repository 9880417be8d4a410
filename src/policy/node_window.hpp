// How many requests one host may have out at a node. The window follows latency: it widens while the node
// answers within reach of its recent best, and narrows where answers take far longer or much of their aim.
// Free of I/O and clocks: times are milliseconds on the host's clock.
#pragma once

namespace spokewheel {

class NodeWindow {
  public:
    static constexpr double kMost = 24, kLeast = 1;

    struct Answer {
        double tookMs = 0, units = 0, latencyTargetMs = 0, sentAtMs = 0;
    };
    // `inflight`: what is out at the node beside this one.
    void served(const Answer& answer, int inflight, double nowMs);
    void turnedAway();

    double size() const { return size_; }
    double msPerUnit() const { return msPerUnit_; }
    // Whether enough answers came to tell a late one.
    bool known() const;

  private:
    static constexpr double kStart = 4;
    double size_ = kStart;
    double msPerUnit_ = 0, bestMsPerUnit_ = 0;
    double partOfAim_ = 0;  // that answers take, on the mean
    double narrowedAtMs_ = -1e18;
    int answers_ = 0;
};

}  // namespace spokewheel
