// Takes a stream of JSON objects apart: one value after another, over as many lines as its writer likes, and
// the empty lines between them. Knows depth, strings and escapes, nothing else: what a value means, and
// whether it is one, is for the parser. Free of I/O and clocks; any split of the input gives the same.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace spokewheel::registry {

class JsonFrames {
  public:
    enum class Event {
        NeedMore,   // all input was taken
        BlankLine,  // the end of a line outside of a value
        Object,     // object() holds a whole object
        Invalid  // something that begins no object, or one that is too long; the stream can't be read further
    };
    explicit JsonFrames(std::size_t most) : most_(most) {}
    // Takes from the front of `in` and tells what was found.
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
            if (object_.size() >= most_) return Event::Invalid;
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
    // The object that was found last, until next() is called again.
    const std::string& object() const { return object_; }
    // Bytes of an object that has not come whole yet.
    std::size_t pending() const { return depth_ > 0 ? object_.size() : 0; }

  private:
    std::size_t most_, depth_ = 0;
    bool quoted_ = false, escaped_ = false;
    std::string object_;
};

}  // namespace spokewheel::registry
