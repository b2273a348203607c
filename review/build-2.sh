#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10, and of a finding that is no case, into target/review-2/. Each case is one program: the
# platform's store, the servers and the clients that it needs (review/support-2/standins.h).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{7,8,9,10}/case.cpp review/support-2/notice-storm/case.cpp; do
    name=$(basename "$(dirname "$source")")
    [ "$name" = notice-storm ] || name=case$name
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
