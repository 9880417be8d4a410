#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review (review/6 to review/10) into build/review-2. Needs the
# compiler only; to be run after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/play.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -I. "$source" -o "build/review-2/case-$number"
done
echo "built: $(ls build/review-2 | tr '\n' ' ')"
