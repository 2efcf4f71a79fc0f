#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, besides the daemon that the line `build` of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/case-$name" "$source"
done
