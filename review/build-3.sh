#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, one program a case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cases=(copied_refusal lost_answers kept_limits)
for name in "${cases[@]}"; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" "review/support-3/$name.cpp" \
        review/support-3/{http_stand,store_stand,deployment,stream_parts}.cpp
done
