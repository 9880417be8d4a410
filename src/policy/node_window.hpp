// The number of requests that one host may have in flight at a node. The window follows latency: it widens
// while responses take little longer than the best that was recently seen, and narrows when they take far
// longer or use up much of their latency target. Free of I/O and clocks: times are milliseconds on the host's
// clock.
#pragma once

namespace spokewheel {

class NodeWindow {
  public:
    static constexpr double kMax = 24, kMin = 1;

    struct Response {
        double durationMs = 0, units = 0, latencyTargetMs = 0, sentAtMs = 0;
    };
    // `inflight`: the requests in flight at the node beside this one.
    void onServed(const Response& response, int inflight, double nowMs);
    void onRejected();

    double size() const { return size_; }
    double msPerUnit() const { return msPerUnit_; }
    // Whether there were enough responses to tell that one is late.
    bool hasBaseline() const;

  private:
    static constexpr double kInitial = 4;
    double size_ = kInitial;
    double msPerUnit_ = 0, bestMsPerUnit_ = 0;
    double targetUse_ = 0;  // the fraction of their latency target that responses take, as a running mean
    double narrowedAtMs_ = -1e18;
    int responses_ = 0;
};

}  // namespace spokewheel
