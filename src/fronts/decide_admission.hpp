// Who may hold a connection of a front. Free of I/O and clocks: times are handed in, in milliseconds.
//
// Those that have not yet said what they want wait in a hall of its own, so that any number of silent ones
// leaves the seats free. When the hall is full, the oldest of the address that holds most of it gives way, so
// that one address alone can't lock another out. A seat is taken once all is said, within a cap in all, by
// address and by module. Wrong passwords cost an address ever more time.
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
        std::size_t hall = 128, seats = 256, seatsByAddress = 256;
    };
    explicit ConnectionAdmission(const Caps& caps) : caps_(caps) {}

    // A new connection stands in the hall; the one returned, if any, must go.
    std::optional<std::uint64_t> addPending(std::uint64_t id, const std::string& address) {
        all_[id] = {address, "", false};
        auto& queue = hall_[address];
        queue.push_back(id);
        if (++standing_ <= caps_.hall) return std::nullopt;
        auto most = hall_.begin();
        for (auto it = hall_.begin(); it != hall_.end(); ++it)
            if (it->second.size() > most->second.size()) most = it;
        return most->second.front();
    }
    // It said something of use: it is not the oldest any more.
    void onProgress(std::uint64_t id) {
        const auto found = all_.find(id);
        if (found == all_.end() || found->second.seated) return;
        auto& queue = hall_[found->second.address];
        queue.remove(id);
        queue.push_back(id);
    }
    // Why it could not be seated now; empty where it could.
    std::string refusalReason(std::uint64_t id, const std::string& module, std::size_t moduleCap) const {
        const auto found = all_.find(id);
        if (found == all_.end()) return "gone";
        const auto most = [](std::size_t n) { return "max connections (" + std::to_string(n) + ") reached"; };
        if (seated_ >= caps_.seats) return most(caps_.seats);
        if (countOf(byAddress_, found->second.address) >= caps_.seatsByAddress)
            return most(caps_.seatsByAddress) + " for your address";
        if (moduleCap > 0 && countOf(byModule_, module) >= moduleCap)
            return most(moduleCap) + " for module " + module;
        return "";
    }
    std::string admit(std::uint64_t id, const std::string& module, std::size_t moduleCap) {
        const auto found = all_.find(id);
        if (found != all_.end() && found->second.seated) return "";
        auto fault = refusalReason(id, module, moduleCap);
        if (!fault.empty()) return fault;
        auto& one = found->second;
        standUp(id, one.address);
        one.seated = true;
        one.module = module;
        ++seated_;
        ++byAddress_[one.address];
        ++byModule_[module];
        return "";
    }
    void remove(std::uint64_t id) {
        const auto found = all_.find(id);
        if (found == all_.end()) return;
        const auto one = found->second;
        all_.erase(found);
        if (!one.seated) return standUp(id, one.address);
        --seated_;
        drop(byAddress_, one.address);
        drop(byModule_, one.module);
    }

    // How long the answer to a wrong password is held back: doubled for each that came shortly before.
    double wrongPasswordDelayMs(const std::string& address, double nowMs) {
        if (wrong_.size() >= kMostWrong && !wrong_.count(address)) {
            for (auto it = wrong_.begin(); it != wrong_.end();)
                it = nowMs - it->second.atMs > kForgetMs ? wrong_.erase(it) : std::next(it);
            if (wrong_.size() >= kMostWrong) return kMostDelayMs;  // many at it at once: no more is kept
        }
        auto& w = wrong_[address];
        if (nowMs - w.atMs > kForgetMs) w.times = 0;
        w.atMs = nowMs;
        const double delay = kLeastDelayMs * static_cast<double>(1u << std::min(w.times, 10u));
        ++w.times;
        return std::min(delay, kMostDelayMs);
    }
    std::size_t pending() const { return standing_; }
    std::size_t admitted() const { return seated_; }

  private:
    static constexpr double kLeastDelayMs = 250, kMostDelayMs = 8000, kForgetMs = 60000;
    static constexpr std::size_t kMostWrong = 10000;
    struct One {
        std::string address, module;
        bool seated = false;
    };
    struct Wrong {
        unsigned times = 0;
        double atMs = -1e18;
    };
    using Counts = std::map<std::string, std::size_t>;
    static std::size_t countOf(const Counts& counts, const std::string& name) {
        const auto found = counts.find(name);
        return found == counts.end() ? 0 : found->second;
    }
    static void drop(Counts& counts, const std::string& name) {
        const auto found = counts.find(name);
        if (found != counts.end() && --found->second == 0) counts.erase(found);
    }
    void standUp(std::uint64_t id, const std::string& address) {
        const auto found = hall_.find(address);
        if (found == hall_.end()) return;
        const auto before = found->second.size();
        found->second.remove(id);
        standing_ -= before - found->second.size();
        if (found->second.empty()) hall_.erase(found);
    }

    Caps caps_;
    std::map<std::uint64_t, One> all_;
    std::map<std::string, std::list<std::uint64_t>> hall_;  // by address, the oldest first
    std::size_t standing_ = 0, seated_ = 0;
    Counts byAddress_, byModule_;
    std::map<std::string, Wrong> wrong_;
};

}  // namespace spokewheel::fronts
