#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start: the daemon and the project's stand-ins, as the deploy file does, and
# the stand-ins of this review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DEELGRASSFORD_BENCHMARKS=OFF
cmake --build target --target eelgrassfordd eelgrassford-standins
mkdir -p target/review-2
for name in Runner Caller Proxy; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "review/harness-2/$name.cpp" -o "target/review-2/$name"
done
