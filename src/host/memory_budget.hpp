// Accounts for the memory of content in flight against a fixed capacity. Single-threaded.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace spokewheel::host {

class MemoryBudget {
  public:
    explicit MemoryBudget(std::uint64_t capacity) : capacity_(capacity) {}
    // Releases its bytes when it is destroyed.
    class Lease {
      public:
        Lease() = default;
        Lease(MemoryBudget* budget, std::uint64_t bytes) : budget_(budget) { resize(bytes); }
        ~Lease() { release(); }
        Lease(Lease&& o) noexcept
            : budget_(std::exchange(o.budget_, nullptr)), bytes_(std::exchange(o.bytes_, 0)) {}
        Lease& operator=(Lease&& o) noexcept {
            if (this != &o) {
                release();
                budget_ = std::exchange(o.budget_, nullptr);
                bytes_ = std::exchange(o.bytes_, 0);
            }
            return *this;
        }
        // Changes what a lease acquired from a budget holds, also beyond the capacity.
        void resize(std::uint64_t bytes) {
            if (budget_) budget_->replace(std::exchange(bytes_, bytes), bytes);
        }
        void release() {
            resize(0);
            budget_ = nullptr;
        }
        std::uint64_t bytes() const { return bytes_; }

      private:
        MemoryBudget* budget_ = nullptr;
        std::uint64_t bytes_ = 0;
    };
    // Always succeeds, also beyond the capacity; callers check free() first.
    Lease acquire(std::uint64_t bytes) { return Lease(this, bytes); }
    std::uint64_t free() const { return used_ < capacity_ ? capacity_ - used_ : 0; }
    std::uint64_t used() const { return used_; }
    std::uint64_t peak() const { return peak_; }
    std::uint64_t capacity() const { return capacity_; }
    // `listener` is called after each release of memory, from within it: it must not acquire or release any.
    // It has to remain valid for as long as the budget is used.
    void onRelease(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  private:
    void replace(std::uint64_t before, std::uint64_t after) {
        used_ = used_ - before + after;
        peak_ = std::max(peak_, used_);
        if (after < before)
            for (const auto& listener : listeners_) listener();
    }
    std::uint64_t capacity_, used_ = 0, peak_ = 0;
    std::vector<std::function<void()>> listeners_;
};

}  // namespace spokewheel::host
