// Accounts for the memory budget content in flight against a fixed capacity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace spokewheel::host {

class MemoryBudget {
  public:
    explicit MemoryBudget(std::uint64_t capacity) : capacity_(capacity) {}
    // Releases its bytes when it is destroyed.
    class Lease {
      public:
        Lease() = default;
        Lease(MemoryBudget* budget, std::uint64_t bytes) : budget_(budget), bytes_(bytes) {
            budget_->used_ += bytes;
        }
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
        void release() {
            if (budget_) budget_->used_ -= bytes_;
            budget_ = nullptr;
            bytes_ = 0;
        }

      private:
        MemoryBudget* budget_ = nullptr;
        std::uint64_t bytes_ = 0;
    };
    // Always succeeds, also beyond the capacity; callers check free() first.
    Lease acquire(std::uint64_t bytes) { return Lease(this, bytes); }
    std::uint64_t free() const { return used_ < capacity_ ? capacity_ - used_ : 0; }
    std::uint64_t used() const { return used_; }
    std::uint64_t capacity() const { return capacity_; }

  private:
    std::uint64_t capacity_, used_ = 0;
};

}  // namespace spokewheel::host
