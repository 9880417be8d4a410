// A counted store of memory for content in flight. Leases give back what they hold when they end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace spokewheel::host {

class MemoryBudget {
  public:
    explicit MemoryBudget(std::uint64_t cap) : cap_(cap) {}
    class Lease {
      public:
        Lease() = default;
        Lease(MemoryBudget* of, std::uint64_t bytes) : of_(of), bytes_(bytes) { of_->used_ += bytes; }
        ~Lease() { release(); }
        Lease(Lease&& o) noexcept : of_(std::exchange(o.of_, nullptr)), bytes_(std::exchange(o.bytes_, 0)) {}
        Lease& operator=(Lease&& o) noexcept {
            if (this != &o) {
                release();
                of_ = std::exchange(o.of_, nullptr);
                bytes_ = std::exchange(o.bytes_, 0);
            }
            return *this;
        }
        void release() {
            if (of_) of_->used_ -= bytes_;
            of_ = nullptr;
            bytes_ = 0;
        }

      private:
        MemoryBudget* of_ = nullptr;
        std::uint64_t bytes_ = 0;
    };
    Lease acquire(std::uint64_t bytes) { return Lease(this, bytes); }
    std::uint64_t free() const { return used_ < cap_ ? cap_ - used_ : 0; }
    std::uint64_t used() const { return used_; }
    std::uint64_t cap() const { return cap_; }

  private:
    std::uint64_t cap_, used_ = 0;
};

}  // namespace spokewheel::host
