#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the daemon: the project's stand-ins and the programs that drive
# the cases. The daemon is built by the line `build` of deploy/system.toml, before.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target eelgrassford-standins
mkdir -p target/review-3
for source in review/harness-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
