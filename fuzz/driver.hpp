// One entry for libFuzzer (LLVMFuzzerTestOneInput) and a driver of our own for machines without it: it plays
// the seeds, then bends them by a seeded generator for a stated number of runs.
#pragma once

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
