// Encoding and decoding of the messages that hosts send each other. When they are sent and what they cause is
// decided in policy.cpp. A message is accepted as a whole or not at all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel {

// What a host reports of one volume; amounts in units. Sent and queued are the figures r and Q of the credit
// algorithm.
struct CreditFigures {
    std::int64_t volume = 0;
    double sentUnits = 0;    // r: sent for the first time in the last subperiod
    double queuedUnits = 0;  // Q: waiting at the end of it
    double totalSent = 0;    // running total of r since the process started
    double lentUnits = 0;    // to the receiving host
};
struct CreditReport {
    std::uint32_t incarnation = 0;  // tells the processes of a host apart
    std::uint64_t subperiod = 0;
    std::vector<CreditFigures> figures;
};

// Tells hosts without a request for a volume that all hosts share it. `plan` is an index into the settings'
// list. It is a message of its own so that a host of an older version drops it and reads the others.
struct VolumeIntroduction {
    std::int64_t volume = 0;
    std::size_t plan = 0;
};

// Between a host and a pool of a volume's limit (quota_pool.hpp). `plan` is an index into the settings' list,
// `pool` the number of the volume's pool. The response repeats volume and sequence number.
struct QuotaRequest {
    std::int64_t volume = 0;
    std::uint64_t seq = 0;
    std::size_t plan = 0, pool = 0;
    int hosts = 1;
    double minUnits = 0, maxUnits = 0;
};
struct QuotaResponse {
    std::int64_t volume = 0;
    std::uint64_t seq = 0;
    double units = 0;  // 0: refused
    double retryAfterMs = 0;
};
struct QuotaMessage {
    std::vector<QuotaRequest> requests;
    std::vector<QuotaResponse> responses;
};

// Between a host and the coordinator of a node: a host requests a permit to send, and reports when it no
// longer uses the place in the node (Done). Load is announced by the coordinator to all hosts.
enum class PermitKind { Request = 1, Grant, Ack, Done, Load };
struct PermitMessage {
    PermitKind kind = PermitKind::Ack;
    std::uint64_t seq = 0;  // of the request; all but Load
    int shard = -1;         // Request, Load
    int outcome = 0;        // Done
    double durationMs = 0;  // Done
    double load = 0;        // Load
    // Request only. `requestClass` and `plan` are indexes into the settings' lists. `reservedPart` and
    // `fairPart`, 0 to 1, are the parts of its units that the volume is entitled to. `coldAgeMs` is the time
    // since the node started; negative where the node is warm.
    std::size_t requestClass = 0, plan = 0;
    double reservedPart = 0, fairPart = 0, units = 0, latencyTargetMs = 0, ttlMs = 0, coldAgeMs = -1;
    std::int64_t key = 0;
};

// Encode into messages that each fit into a datagram.
std::vector<std::string> pack(const CreditReport& report);
std::vector<std::string> pack(const std::vector<VolumeIntroduction>& introductions);
std::vector<std::string> pack(const std::vector<PermitMessage>& messages);
std::vector<std::string> pack(const QuotaMessage& message);
// Decode untrusted bytes; nothing if they are of another kind, cannot be read, or hold a figure outside what
// the settings allow.
std::optional<CreditReport> readCreditReport(const std::string& bytes);
std::optional<std::vector<VolumeIntroduction>> readIntroductions(const std::string& bytes,
                                                                 const Settings& settings);
std::optional<QuotaMessage> readQuotaMessage(const std::string& bytes, const Settings& settings);
std::optional<std::vector<PermitMessage>> readPermits(const std::string& bytes, const Settings& settings);

}  // namespace spokewheel
