#!/usr/bin/env bash
# Builds the programs that the scripts of the review start: one for each case, with its stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -pthread -I. review/support/support.cpp "$source" -o "target/review/case$number"
done
