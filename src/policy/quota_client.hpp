// A host's requests for leases from the pools of one volume's limit (quota_pool.hpp), and when each pool may
// be asked again. One request is in flight at a time. A pool that does not respond is asked once more and
// then left alone for a time that doubles with each time-out, while the other pool is asked. Free of I/O and
// clocks: times are milliseconds on the host's clock, amounts units.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "limit_parts.hpp"
#include "peer_messages.hpp"

namespace spokewheel {

class QuotaClient {
  public:
    // What waits for a lease.
    struct Need {
        std::vector<double> waiting;  // units of each request
        double available = 0;         // may be drawn without a lease
        double credit = 0;            // at most so much may be sent in all
    };
    // The time at which a pool last had less than `units`.
    struct Refusal {
        double atMs = -1e18, units = 0;
    };

    // Records that requests wait which the host's own share does not cover.
    void markWanted() { wanted_ = true; }
    bool wanted() const { return wanted_; }
    // The request to send now. A repeat after a time-out has the same sequence number. Nothing while a
    // response may still come or no pool may be asked, see wakeAtMs(). `request` holds volume, plan, hosts
    // and a new sequence number.
    std::optional<QuotaRequest> nextRequest(const Need& need, QuotaRequest request, double nowMs);
    // The request was sent to another host.
    void onRequestSent(double nowMs, double responseWaitMs);
    // Returns the time until which the leased units may be drawn; nothing where the response is a refusal or
    // matches no request.
    std::optional<double> onResponse(const QuotaResponse& response, double nowMs);
    bool isAwaited(const QuotaResponse& response) const {
        return response.seq != 0 && request_.seq == response.seq;
    }

    double wakeAtMs(double nowMs) const;
    // An upper bound of what the volume's whole bucket holds, from the last refusals of its pools.
    double maxUnitsLeft(const LimitParts& parts, int hosts, double nowMs) const;

  private:
    struct Pool {
        double retryAtMs = 0;
        double backoffMs = 0;  // 0: the pool responded last time
        Refusal lastRefusal;
    };
    bool wanted_ = false;
    QuotaRequest request_;  // in flight; a sequence number of 0: none
    int tries_ = 0;
    double requestedAtMs_ = 0, responseDueMs_ = 0;
    std::array<Pool, kPoolsPerVolume> pools_;
};

}  // namespace spokewheel
