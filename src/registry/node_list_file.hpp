// The node list from a file. The file is read and checked as a whole whenever a file monitor reports a change
// and also periodically, because monitors may miss events. An invalid file changes nothing.
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
    using Fault = std::function<void(const std::string& message)>;
    NodeListFile(std::string path, Update update, Fault fault);
    ~NodeListFile();
    NodeListFile(const NodeListFile&) = delete;
    NodeListFile& operator=(const NodeListFile&) = delete;
    // Reads the file now. Reports its entries if the content changed, and an error if the changed content is
    // invalid or the file cannot be read.
    void read();

  private:
    void poll();
    std::string path_, text_;  // text_: the content read last
    Update update_;
    Fault fault_;
    GFileMonitor* monitor_ = nullptr;
    io::Timer pollTimer_, settleTimer_;
};

}  // namespace spokewheel::registry
