// What a host asked of the pools of a volume's limit (quota_pool.hpp), and when each may be asked again. One
// ask is out at a time. A pool that does not answer is asked once more, then left alone for a time that
// doubles with each silence, while the other pool is asked. Free of I/O and clocks: times are milliseconds on
// the host's clock, amounts units.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "limit_parts.hpp"
#include "peer_messages.hpp"

namespace spokewheel {

class QuotaClient {
  public:
    // What waits for a lease: the units of each request, and what the host may send beyond what it holds.
    struct Need {
        std::vector<double> waiting;
        double held = 0;    // may be drawn without a lease
        double credit = 0;  // at most as much may be sent in all
    };
    struct Refusal {
        double atMs = -1e18, units = 0;  // when a pool had less than so many
    };

    // Something waits that the share does not cover.
    void want() { wanted_ = true; }
    bool wanted() const { return wanted_; }
    // The ask to send now, also one that is sent again, the same by its number; nothing while an answer may
    // still come or no pool may be asked, see wakeAtMs(). `ask` tells volume, plan, hosts and a new number.
    std::optional<QuotaAsk> next(const Need& need, QuotaAsk ask, double nowMs);
    // The ask went out to another host.
    void sent(double nowMs, double answerWaitMs);
    // Until when what an answer leases may be drawn; nothing where it leases nothing or answers no ask.
    std::optional<double> leasedUntil(const QuotaAnswer& answer, double nowMs);
    bool awaits(const QuotaAnswer& answer) const { return answer.seq != 0 && ask_.seq == answer.seq; }

    double wakeAtMs(double nowMs) const;
    // What the volume's whole bucket holds at most by what its pools last refused.
    double mostLeft(const LimitParts& parts, int hosts, double nowMs) const;

  private:
    // A silence of zero: the pool answered last.
    struct Pool {
        double askAgainAtMs = 0, silenceMs = 0;
        Refusal refused;
    };
    bool wanted_ = false;
    QuotaAsk ask_;  // without an answer yet; a sequence of 0: none
    int tries_ = 0;
    double askedAtMs_ = 0, answerDueMs_ = 0;
    std::array<Pool, kPools> pools_;
};

}  // namespace spokewheel
