#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into review/build/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -Istandin "$source" -o "build/case${source%%/*}" -pthread
done
