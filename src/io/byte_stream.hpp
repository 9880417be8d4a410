// What a session needs of its connection: a counted queue out, reading that can be held back. A connection is
// one; a model that drives a session without sockets is another.
#pragma once

#include <string>

namespace spokewheel::io {

class ByteStream {
  public:
    virtual ~ByteStream() = default;
    // Queues all of it; never blocks. Callers look at backlogged() before they make more, and are told once
    // the queue has drained.
    virtual void write(std::string bytes) = 0;
    virtual bool backlogged() const = 0;
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;
};

}  // namespace spokewheel::io
