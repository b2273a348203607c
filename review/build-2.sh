#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Each case is one program: the
# platform's store, the servers and the clients that it needs (review/support-2/standins.h).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case$number"
done
