// Run-time checks of rules that a scheduler must keep by itself. A failed check counts a violation of its
// kind and reports the first of each kind; it never ends the program. Standard library only, no I/O, no
// clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace spokewheel::invariants {

// The violated rule. The prefix names where it is checked: Send, the first byte of an attempt; Repeat, the
// first byte of a repeated attempt; Close, the end of a client connection; Ready, the readiness of the
// process.
enum class Violation {
    SendForEndedRequest,
    SendAfterClientLeft,
    SendAfterDeadline,
    SendToUnusableNode,
    RepeatWhileAttemptOpen,
    RepeatOfOnceRequest,
    RepeatOutsideKeyGroup,
    RepeatAfterKeyForgotten,
    RepeatOverBudget,
    CloseOverOpenRequest,
    CloseOverReadRequest,
    ReadyBeforeNodeList,
    ReadyWhileStopping,
    Count
};

inline const char* nameOf(Violation violation) {
    static constexpr std::array<const char*, static_cast<std::size_t>(Violation::Count)> kNames = {
        "send_for_ended_request",   "send_after_client_left",  "send_after_deadline",
        "send_to_unusable_node",    "repeat_while_open",       "repeat_of_once_request",
        "repeat_outside_key_group", "repeat_after_forgotten",  "repeat_over_budget",
        "close_over_open_request",  "close_over_read_request", "ready_before_node_list",
        "ready_while_stopping"};
    return kNames[static_cast<std::size_t>(violation)];
}

// Counts violations; one instance for each process. Not thread-safe.
class Monitor {
  public:
    // Called for the first violation of each kind. The request's id may be empty.
    using Report = std::function<void(Violation, const std::string& request, const std::string& detail)>;

    void reportTo(Report report) { report_ = std::move(report); }
    // Returns `holds`; counts a violation if it is false.
    bool check(bool holds, Violation kind, const std::string& request, const std::string& detail = {}) {
        if (holds) return true;
        ++total_;
        if (counts_[static_cast<std::size_t>(kind)]++ == 0 && report_) report_(kind, request, detail);
        return false;
    }
    std::uint64_t count(Violation kind) const { return counts_[static_cast<std::size_t>(kind)]; }
    std::uint64_t total() const { return total_; }

  private:
    Report report_;
    std::array<std::uint64_t, static_cast<std::size_t>(Violation::Count)> counts_{};
    std::uint64_t total_ = 0;
};

}  // namespace spokewheel::invariants
