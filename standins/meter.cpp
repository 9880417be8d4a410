#include "standins/meter.hpp"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <utility>

namespace spokewheel::standins {
namespace {

namespace fs = std::filesystem;

// The value of `name` in a label; -1 if the label does not have it.
double labelNumber(const std::string& label, const std::string& name) {
    const auto at = label.find(";" + name + "=");
    if (at == label.npos) return -1;
    return g_ascii_strtod(label.c_str() + at + name.size() + 2, nullptr);
}

}  // namespace

Meter::Meter(MeterSettings settings, std::string name)
    : settings_(std::move(settings)), name_(std::move(name)) {
    fs::create_directories(settings_.directory);
    currentPeriod_ = period();
    rollOver();
}

// Periods are counted on the machine's monotonic clock, which all nodes share.
std::int64_t Meter::period() const {
    return static_cast<std::int64_t>(static_cast<double>(g_get_monotonic_time()) /
                                     (1000 * settings_.periodMs));
}

std::string Meter::periodFile(std::int64_t period) const {
    return settings_.directory + "/" + std::to_string(period) + "-" + name_;
}

// If the period is over, writes its file atomically, removes files that are too old and starts the next one.
void Meter::rollOver() {
    const auto current = period();
    if (current > currentPeriod_) {
        std::string text;
        for (const auto& [volume, units] : servedUnits_)
            text += std::to_string(volume) + " " + std::to_string(units) + "\n";
        if (!text.empty())
            g_file_set_contents(periodFile(currentPeriod_).c_str(), text.c_str(),
                                static_cast<gssize>(text.size()), nullptr);
        std::error_code ignored;
        for (auto old = currentPeriod_ - 8; old < current - 4; ++old) fs::remove(periodFile(old), ignored);
        servedUnits_.clear();
        currentPeriod_ = current;
    }
    const double leftMs = settings_.periodMs * static_cast<double>(current + 1) -
                          static_cast<double>(g_get_monotonic_time()) / 1000;
    timer_.arm(std::max(1.0, leftMs), [this] { rollOver(); });
}

void Meter::recordServed(const std::string& label) {
    rollOver();
    const double volume = labelNumber(label, "volume"), units = labelNumber(label, "units");
    if (volume >= 0 && units > 0) servedUnits_[static_cast<std::int64_t>(volume)] += units;
}

long Meter::usage(const std::string& label) {
    rollOver();
    if (reportedPeriod_ != currentPeriod_ - 2) {
        reportedPeriod_ = currentPeriod_ - 2;
        reportedUnits_.clear();
        const auto prefix = std::to_string(reportedPeriod_) + "-";
        for (const auto& file : fs::directory_iterator(settings_.directory)) {
            if (file.path().filename().string().rfind(prefix, 0) != 0) continue;
            std::ifstream in(file.path());
            std::int64_t volume;
            double units;
            while (in >> volume >> units) reportedUnits_[volume] += units;
        }
    }
    const auto volume = static_cast<std::int64_t>(labelNumber(label, "volume"));
    const auto nominal = settings_.nominal.find(volume);
    const auto units = reportedUnits_.find(volume);
    if (nominal == settings_.nominal.end() || units == reportedUnits_.end() || nominal->second <= 0) return 0;
    return 1 + std::lround(100 * units->second / (settings_.periodMs / 1000) / nominal->second);
}

}  // namespace spokewheel::standins
