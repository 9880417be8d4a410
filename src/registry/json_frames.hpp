// Splits a stream into JSON objects, which may span lines, and the empty lines between them. Only tracks
// nesting depth, strings and escapes; whether an object is valid JSON is for the parser to find. Free of I/O
// and clocks. The result does not depend on how the input is split into chunks.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace spokewheel::registry {

class JsonFrames {
  public:
    enum class Event {
        NeedMore,   // all input was consumed
        BlankLine,  // the end of a line outside of an object
        Object,     // object() holds a complete object
        Invalid     // data outside of an object, or an object that is too long; the stream is unusable
    };
    explicit JsonFrames(std::size_t maxObjectBytes) : maxObjectBytes_(maxObjectBytes) {}
    // Consumes input from the front of `in` up to the next event.
    Event next(std::string_view& in) {
        if (depth_ == 0) object_.clear();
        for (std::size_t i = 0; i < in.size(); ++i) {
            const char c = in[i];
            if (depth_ == 0 && c != '{') {
                const bool blank = c == ' ' || c == '\t' || c == '\r' || c == '\n';
                if (blank && c != '\n') continue;
                in.remove_prefix(i + 1);
                return blank ? Event::BlankLine : Event::Invalid;
            }
            if (object_.size() >= maxObjectBytes_) return Event::Invalid;
            object_ += c;
            if (quoted_) {
                if (escaped_) escaped_ = false;
                else if (c == '\\') escaped_ = true;
                else if (c == '"') quoted_ = false;
                continue;
            }
            if (c == '"') quoted_ = true;
            else if (c == '{' || c == '[') ++depth_;
            else if (c == '}' || c == ']') --depth_;
            if (depth_ > 0) continue;
            in.remove_prefix(i + 1);
            return Event::Object;
        }
        in = {};
        return Event::NeedMore;
    }
    // The object found last; valid until the next call of next().
    const std::string& object() const { return object_; }
    // Bytes received of an incomplete object.
    std::size_t pending() const { return depth_ > 0 ? object_.size() : 0; }

  private:
    std::size_t maxObjectBytes_, depth_ = 0;
    bool quoted_ = false, escaped_ = false;
    std::string object_;
};

}  // namespace spokewheel::registry
