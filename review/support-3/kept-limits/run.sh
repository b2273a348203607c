#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
set -u
trouble=${TROUBLE:-1}
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/dotterelgateway ] && [ -x target/review-3/kept_limits ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 110 target/review-3/kept_limits target/review-3/kept_limits.txt "$folder" "$trouble" &
program=$!
# The gateways end with the program.
trap 'kill "$program" 2>/dev/null; wait "$program" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
wait "$program"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
