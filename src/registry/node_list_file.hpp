// The node list from a file: read whole, checked whole, followed by a file monitor and, as monitors can lose
// an event, by a look now and then. A list that can't be read changes nothing.
#pragma once

#include <gio/gio.h>

#include <functional>
#include <string>

#include "config/settings.hpp"
#include "io/loop.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::registry {

class NodeListFile {
  public:
    using Update = std::function<void(ListUpdate)>;
    using Fault = std::function<void(const std::string& words)>;
    NodeListFile(std::string path, Update update, Fault fault);
    ~NodeListFile();
    NodeListFile(const NodeListFile&) = delete;
    NodeListFile& operator=(const NodeListFile&) = delete;
    void read();

  private:
    void look();
    std::string path_, text_;
    Update update_;
    Fault fault_;
    GFileMonitor* monitor_ = nullptr;
    io::Timer timer_, soon_;
};

}  // namespace spokewheel::registry
