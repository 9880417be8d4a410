// The bench link: a line protocol over standard input and output that runs schedulers on a simulated clock.
// Parses events and prints actions; the schedulers decide.
#pragma once

#include <iosfwd>

namespace spokewheel::benchlink {

// Serves batches from `in` until it ends. Returns the exit code: 0, or 1 after a malformed line, with
// one message on `err` naming the line, the field and what was expected.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace spokewheel::benchlink
