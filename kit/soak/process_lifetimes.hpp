// When the scheduler processes of a soak run started, became ready, were stopped and ended, as its record has
// it.
#pragma once

#include <limits>
#include <map>
#include <utility>

#include "kit/soak/events.hpp"

namespace spokewheel::soak {

// The times of one process in milliseconds; infinite: it did not happen.
struct ProcessLifetime {
    double from = 0, until = std::numeric_limits<double>::infinity();
    double readyAt = std::numeric_limits<double>::infinity();
    double stopAt = std::numeric_limits<double>::infinity();  // of the request to stop
    bool killed = false;
};

class ProcessLifetimes {
  public:
    // Events of other kinds are ignored. To be called in the order of time.
    void note(const Event& event);
    // Of the process that the event names; null if none of its events is known.
    const ProcessLifetime* find(const Event& event) const;
    // Whether the process that the request was sent to was killed, without a stop request before, by the time
    // the answer was due. A kill that ends a planned stop does not count: requests still open are lost then.
    bool killedBefore(const Event& sent, double due) const;
    // Whether the event's process ran until then, and nobody had asked it to stop at the time of the event.
    bool ranOnUntil(const Event& event, double until) const;
    // By scheduler and number of the process.
    const std::map<std::pair<int, int>, ProcessLifetime>& all() const { return lifetimes_; }

  private:
    std::map<std::pair<int, int>, ProcessLifetime> lifetimes_;
};

}  // namespace spokewheel::soak
