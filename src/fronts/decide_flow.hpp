// How many requests a session keeps open at once and whether a refused one is asked for again. Free of I/O
// and clocks.
#pragma once

#include <algorithm>
#include <cstddef>

namespace spokewheel::fronts {

// A refusal says that trying again is harmless, and that the volume got less than was asked for at once. A
// session that moves a large file in pieces therefore narrows what it asks for by half and asks again, and
// widens by one each time a whole window was served; one request refused too often in a row, asked for
// almost alone, gives up.
class Flow {
  public:
    explicit Flow(std::size_t most) : most_(std::max<std::size_t>(1, most)), window_(most_) {}
    std::size_t window() const { return window_; }
    void served() {
        inRow_ = 0;
        if (++served_ < window_) return;
        served_ = 0;
        window_ = std::min(most_, window_ + 1);
    }
    // Whether to ask again. `tries` counts how often this one was refused, this time included; `underway`
    // is whether other parts of the same file were served. Only then is the refusal taken for a sign of
    // asking too fast: a file refused as a whole is answered so at once, within the time of one request.
    bool refused(int tries, bool underway) {
        if (!underway) return false;
        served_ = 0;
        // Those refused together with this one are one sign, not many.
        if (inRow_++ % std::max<std::size_t>(1, window_) == 0)
            window_ = std::max<std::size_t>(1, window_ / 2);
        return tries < kMostTries;
    }
    static constexpr int kMostTries = 4;

  private:
    std::size_t most_, window_, served_ = 0, inRow_ = 0;
};

}  // namespace spokewheel::fronts
