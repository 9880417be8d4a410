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

// The figure behind "name=" in a label; -1 where there is none.
double figureOf(const std::string& label, const std::string& name) {
    const auto at = label.find(";" + name + "=");
    if (at == label.npos) return -1;
    return g_ascii_strtod(label.c_str() + at + name.size() + 2, nullptr);
}

}  // namespace

Meter::Meter(MeterSettings settings, std::string name)
    : settings_(std::move(settings)), name_(std::move(name)) {
    fs::create_directories(settings_.directory);
    now_ = period();
    roll();
}

// Of the machine's clock that all nodes share.
std::int64_t Meter::period() const {
    return static_cast<std::int64_t>(static_cast<double>(g_get_monotonic_time()) /
                                     (1000 * settings_.periodMs));
}

std::string Meter::fileOf(std::int64_t period) const {
    return settings_.directory + "/" + std::to_string(period) + "-" + name_;
}

// What a period held is written once it is over, whole or not at all; what is too old goes.
void Meter::roll() {
    const auto current = period();
    if (current > now_) {
        std::string text;
        for (const auto& [volume, units] : units_)
            text += std::to_string(volume) + " " + std::to_string(units) + "\n";
        if (!text.empty())
            g_file_set_contents(fileOf(now_).c_str(), text.c_str(), static_cast<gssize>(text.size()),
                                nullptr);
        std::error_code ignored;
        for (auto old = now_ - 8; old < current - 4; ++old) fs::remove(fileOf(old), ignored);
        units_.clear();
        now_ = current;
    }
    const double left = settings_.periodMs * static_cast<double>(current + 1) -
                        static_cast<double>(g_get_monotonic_time()) / 1000;
    timer_.arm(std::max(1.0, left), [this] { roll(); });
}

void Meter::served(const std::string& label) {
    roll();
    const double volume = figureOf(label, "volume"), units = figureOf(label, "units");
    if (volume >= 0 && units > 0) units_[static_cast<std::int64_t>(volume)] += units;
}

long Meter::usage(const std::string& label) {
    roll();
    if (told_ != now_ - 2) {
        told_ = now_ - 2;
        sum_.clear();
        const auto mark = std::to_string(told_) + "-";
        for (const auto& f : fs::directory_iterator(settings_.directory)) {
            if (f.path().filename().string().rfind(mark, 0) != 0) continue;
            std::ifstream in(f.path());
            std::int64_t volume;
            double units;
            while (in >> volume >> units) sum_[volume] += units;
        }
    }
    const auto volume = static_cast<std::int64_t>(figureOf(label, "volume"));
    const auto nominal = settings_.nominal.find(volume);
    const auto found = sum_.find(volume);
    if (nominal == settings_.nominal.end() || found == sum_.end() || nominal->second <= 0) return 0;
    return 1 + std::lround(100 * found->second / (settings_.periodMs / 1000) / nominal->second);
}

}  // namespace spokewheel::standins
