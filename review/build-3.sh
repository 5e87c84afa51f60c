#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into build/review-3/. The project's own programs
# come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/1[1-5]/driver.cpp; do
    case=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-3/driver-$case"
done
