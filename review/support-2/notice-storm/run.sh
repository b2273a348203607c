#!/usr/bin/env bash
# No case: exits with 1 if gateways want more processor than their machine has, 0 if not, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../../.." || exit 2
gateway=$PWD/target/dotterelgateway
case=target/review-2/notice-storm
[ -x "$gateway" ] && [ -x "$case" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$case" "$gateway" "$folder" review/support-2/notice-storm/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
