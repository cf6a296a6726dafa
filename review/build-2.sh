#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, one program a case, into build/review-2. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/driver.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$name" "$source"
done
