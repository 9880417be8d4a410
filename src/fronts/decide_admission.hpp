// Decides which client connections a front may hold. Free of I/O and clocks: times are passed in, in
// milliseconds.
//
// Connections whose handshake is not complete are pending and have a cap of their own, so that any number of
// silent ones leaves the slots for admitted connections free. When that cap is exceeded, the oldest pending
// connection of the address with the most of them has to go, so that a single address can't lock out others.
// A connection is admitted once its handshake is complete, within a cap in total, by address and by module.
// Each wrong password from an address increases the delay before the next answer to it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace spokewheel::fronts {

class ConnectionAdmission {
  public:
    struct Caps {
        std::size_t pending = 128, admitted = 256, admittedByAddress = 256;
    };
    explicit ConnectionAdmission(const Caps& caps) : caps_(caps) {}

    // Adds a new connection as pending. If it returns one, the caller must close that connection.
    std::optional<std::uint64_t> addPending(std::uint64_t id, const std::string& address) {
        connections_[id] = {address, "", false};
        auto& queue = pending_[address];
        queue.push_back(id);
        if (++pendingCount_ <= caps_.pending) return std::nullopt;
        auto largest = pending_.begin();
        for (auto it = pending_.begin(); it != pending_.end(); ++it)
            if (it->second.size() > largest->second.size()) largest = it;
        return largest->second.front();
    }
    // The client has made progress in its handshake: its connection counts as the newest again.
    void onProgress(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end() || found->second.admitted) return;
        auto& queue = pending_[found->second.address];
        queue.remove(id);
        queue.push_back(id);
    }
    // Why the connection could not be admitted now, as text for the client; empty if it could. A `moduleCap`
    // of 0 is no cap.
    std::string refusalReason(std::uint64_t id, const std::string& module, std::size_t moduleCap) const {
        const auto found = connections_.find(id);
        if (found == connections_.end()) return "gone";
        const auto capReached = [](std::size_t n) {
            return "max connections (" + std::to_string(n) + ") reached";
        };
        if (admittedCount_ >= caps_.admitted) return capReached(caps_.admitted);
        if (countOf(byAddress_, found->second.address) >= caps_.admittedByAddress)
            return capReached(caps_.admittedByAddress) + " for your address";
        if (moduleCap > 0 && countOf(byModule_, module) >= moduleCap)
            return capReached(moduleCap) + " for module " + module;
        return "";
    }
    // Admits the connection and returns an empty text, or returns why it is refused. Repeating it is
    // harmless.
    std::string admit(std::uint64_t id, const std::string& module, std::size_t moduleCap) {
        const auto found = connections_.find(id);
        if (found != connections_.end() && found->second.admitted) return "";
        auto reason = refusalReason(id, module, moduleCap);
        if (!reason.empty()) return reason;
        auto& connection = found->second;
        removePending(id, connection.address);
        connection.admitted = true;
        connection.module = module;
        ++admittedCount_;
        ++byAddress_[connection.address];
        ++byModule_[module];
        return "";
    }
    void remove(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) return;
        const auto connection = found->second;
        connections_.erase(found);
        if (!connection.admitted) return removePending(id, connection.address);
        --admittedCount_;
        decrement(byAddress_, connection.address);
        decrement(byModule_, connection.module);
    }

    // How long to delay the answer to a wrong password: doubled for each recent one from the same address.
    double wrongPasswordDelayMs(const std::string& address, double nowMs) {
        if (wrongPasswords_.size() >= kMaxTrackedAddresses && !wrongPasswords_.count(address)) {
            for (auto it = wrongPasswords_.begin(); it != wrongPasswords_.end();)
                it = nowMs - it->second.lastMs > kForgetMs ? wrongPasswords_.erase(it) : std::next(it);
            if (wrongPasswords_.size() >= kMaxTrackedAddresses)
                return kMaxDelayMs;  // bounds memory while many addresses guess
        }
        auto& wrong = wrongPasswords_[address];
        if (nowMs - wrong.lastMs > kForgetMs) wrong.count = 0;
        wrong.lastMs = nowMs;
        const double delay = kMinDelayMs * static_cast<double>(1u << std::min(wrong.count, 10u));
        ++wrong.count;
        return std::min(delay, kMaxDelayMs);
    }
    std::size_t pending() const { return pendingCount_; }
    std::size_t admitted() const { return admittedCount_; }

  private:
    static constexpr double kMinDelayMs = 250, kMaxDelayMs = 8000, kForgetMs = 60000;
    static constexpr std::size_t kMaxTrackedAddresses = 10000;
    struct Connection {
        std::string address, module;
        bool admitted = false;
    };
    struct WrongPasswords {
        unsigned count = 0;
        double lastMs = -1e18;
    };
    using Counts = std::map<std::string, std::size_t>;
    static std::size_t countOf(const Counts& counts, const std::string& name) {
        const auto found = counts.find(name);
        return found == counts.end() ? 0 : found->second;
    }
    static void decrement(Counts& counts, const std::string& name) {
        const auto found = counts.find(name);
        if (found != counts.end() && --found->second == 0) counts.erase(found);
    }
    void removePending(std::uint64_t id, const std::string& address) {
        const auto found = pending_.find(address);
        if (found == pending_.end()) return;
        const auto before = found->second.size();
        found->second.remove(id);
        pendingCount_ -= before - found->second.size();
        if (found->second.empty()) pending_.erase(found);
    }

    Caps caps_;
    std::map<std::uint64_t, Connection> connections_;
    std::map<std::string, std::list<std::uint64_t>> pending_;  // by address, oldest first
    std::size_t pendingCount_ = 0, admittedCount_ = 0;
    Counts byAddress_, byModule_;
    std::map<std::string, WrongPasswords> wrongPasswords_;
};

}  // namespace spokewheel::fronts
