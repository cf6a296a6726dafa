#!/usr/bin/env bash
# Builds the stand-ins of all cases into build/review/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview -o "build/review/case-$number" "$source"
done
