#!/usr/bin/env bash
# Builds the stand-ins of all scripts of this folder into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source" &
done
wait
for source in review/*/case.cpp; do
    test -x "target/review/case-$(basename "$(dirname "$source")")"
done
