// The entry point of a fuzz target, for libFuzzer or for the driver in driver.cpp where libFuzzer is not
// available: it runs the seed inputs, then a given number of mutations of them from a seeded random
// generator.
#pragma once

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
