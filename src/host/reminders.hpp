// The times at which the scheduler has asked to be woken. Free of I/O and clocks.
#pragma once

#include <set>

namespace spokewheel::host {

// Keeps every time, not just the earliest: the scheduler may ask for a later one while an earlier one is
// about to fire and does not ask again, so it would never be woken.
class Reminders {
  public:
    void add(double atMs) { at_.insert(atMs); }
    // Removes all reminders that are due; returns whether there was one.
    bool removeDue(double nowMs) {
        const auto end = at_.upper_bound(nowMs);
        const bool any = end != at_.begin();
        at_.erase(at_.begin(), end);
        return any;
    }
    bool empty() const { return at_.empty(); }
    double earliest() const { return *at_.begin(); }  // must not be empty

  private:
    std::multiset<double> at_;
};

}  // namespace spokewheel::host
