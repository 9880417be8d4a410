// The bench's wire, parsed and printed. Nothing here decides anything.
#pragma once

#include <iosfwd>

namespace spokewheel::benchlink {

// Serves batches from `in` until it ends. Returns the exit code: 0, or 1 after a malformed line, with
// one message on `err` naming the line, the field and what was expected.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace spokewheel::benchlink
