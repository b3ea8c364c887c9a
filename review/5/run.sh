#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../standin/target/release/review-standin ] || { echo "run ../build.sh first"; exit 2; }
exec ../standin/target/release/review-standin 5 .
