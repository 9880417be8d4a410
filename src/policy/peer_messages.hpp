// The bytes that hosts send each other: packing and reading only. What they mean and when they are sent is
// decided in policy.cpp. A message is read whole or not at all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel {

// What a host reports of one volume: r, Q, the running total of units first-sent, and what it lends to the
// host that is told.
struct CreditFigures {
    std::int64_t volume = 0;
    double r = 0, held = 0, total = 0, gift = 0;
};
struct Report {
    std::uint32_t incarnation = 0;
    std::uint64_t subperiod = 0;
    std::vector<CreditFigures> figures;
};

// That a volume is shared by all hosts, which a host that had no request for it can't know; `plan` is its
// place in the settings' list. A message of its own: a host of an older build drops it and reads the rest.
struct Introduction {
    std::int64_t volume = 0;
    std::size_t plan = 0;
};

// Between a host and a pool of a volume's limit (quota_pool.hpp). `plan` is a place in the settings' list,
// `pool` tells which of the volume's pools is asked. The answer repeats volume and sequence; units of 0 are a
// refusal.
struct QuotaAsk {
    std::int64_t volume = 0;
    std::uint64_t seq = 0;
    std::size_t plan = 0, pool = 0;
    int hosts = 1;
    double least = 0, most = 0;  // units
};
struct QuotaAnswer {
    std::int64_t volume = 0;
    std::uint64_t seq = 0;
    double units = 0, retryAfterMs = 0;
};
struct QuotaMessage {
    std::vector<QuotaAsk> asks;
    std::vector<QuotaAnswer> answers;
};

// Between a host and the keeper of a node; `kind` and `plan` are places in the settings' lists.
enum class NoteKind { Ask = 1, Grant, Ack, Done, Heat };
struct Note {
    NoteKind kind = NoteKind::Ack;
    std::uint64_t seq = 0;  // all but Heat
    int shard = -1;         // Ask, Heat
    int outcome = 0;        // Done
    double tookMs = 0;      // Done
    double heat = 0;        // Heat
    // Ask: the parts of its units that are due, between 0 and 1; a negative age stands for a warm node.
    std::size_t requestClass = 0, plan = 0;
    double full = 0, fair = 0, units = 0, latencyTargetMs = 0, ttlMs = 0, coldAgeMs = -1;
    std::int64_t key = 0;
};

std::vector<std::string> pack(const Report& report);
std::vector<std::string> pack(const std::vector<Introduction>& words);
std::vector<std::string> pack(const std::vector<Note>& notes);
std::vector<std::string> pack(const QuotaMessage& message);
std::optional<Report> readReport(const std::string& bytes);
std::optional<std::vector<Introduction>> readIntroductions(const std::string& bytes,
                                                           const Settings& settings);
// Nothing where a figure is outside what the settings allow.
std::optional<QuotaMessage> readQuota(const std::string& bytes, const Settings& settings);
std::optional<std::vector<Note>> readNotes(const std::string& bytes, const Settings& settings);

}  // namespace spokewheel
