// The part of a connection that a session needs: a bounded write queue and flow control for reading.
// Implemented by Connection, and by in-memory models in tests that drive a session without sockets.
#pragma once

#include <string>

namespace spokewheel::io {

class ByteStream {
  public:
    virtual ~ByteStream() = default;
    // Queues all of `bytes` and never blocks. Callers check backlogged() before they produce more and are
    // notified when the queue has drained.
    virtual void write(std::string bytes) = 0;
    virtual bool backlogged() const = 0;
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;
};

}  // namespace spokewheel::io
