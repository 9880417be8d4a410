// The module's reminders that are not yet due. Free of I/O and clocks.
#pragma once

#include <set>

namespace spokewheel::host {

// Each counts: the module asks for a later one while an earlier is about to fire and does not ask again, so
// that keeping the earliest alone would leave it asleep.
class Reminders {
  public:
    void add(double atMs) { at_.insert(atMs); }
    // Takes off all that are due; whether any was.
    bool removeDue(double nowMs) {
        const auto end = at_.upper_bound(nowMs);
        const bool any = end != at_.begin();
        at_.erase(at_.begin(), end);
        return any;
    }
    bool empty() const { return at_.empty(); }
    double earliest() const { return *at_.begin(); }

  private:
    std::multiset<double> at_;
};

}  // namespace spokewheel::host
