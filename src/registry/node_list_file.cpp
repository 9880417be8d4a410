#include "registry/node_list_file.hpp"

#include <fstream>
#include <iterator>

namespace spokewheel::registry {
namespace {

constexpr double kPollMs = 1000, kSettleMs = 5;

}  // namespace

NodeListFile::NodeListFile(std::string path, Update update, Fault fault)
    : path_(std::move(path)), update_(std::move(update)), fault_(std::move(fault)) {
    GFile* file = g_file_new_for_path(path_.c_str());
    monitor_ = g_file_monitor_file(file, G_FILE_MONITOR_WATCH_MOVES, nullptr, nullptr);
    g_object_unref(file);
    if (monitor_) {
        g_file_monitor_set_rate_limit(monitor_, 20);
        g_signal_connect(monitor_, "changed",
                         G_CALLBACK(+[](GFileMonitor*, GFile*, GFile*, GFileMonitorEvent, gpointer self) {
                             auto* f = static_cast<NodeListFile*>(self);
                             // The writer may not be finished: wait until events stop.
                             f->settleTimer_.arm(kSettleMs, [f] { f->read(); });
                         }),
                         this);
    }
    poll();
}

NodeListFile::~NodeListFile() {
    if (!monitor_) return;
    g_signal_handlers_disconnect_by_data(monitor_, this);
    g_file_monitor_cancel(monitor_);
    g_object_unref(monitor_);
}

void NodeListFile::poll() {
    read();
    pollTimer_.arm(kPollMs, [this] { poll(); });
}

void NodeListFile::read() {
    std::ifstream in(path_, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (in && text == text_) return;
    config::ConfigErrors errors;
    auto list = config::readNodeList(path_, errors);
    if (!errors.empty()) {
        if (text != text_ || !in) fault_(errors.front().text());
        text_ = std::move(text);
        return;
    }
    text_ = std::move(text);
    update_({ListForm::Full, std::move(list.entries)});
}

}  // namespace spokewheel::registry
