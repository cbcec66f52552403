#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-3.sh. Exit code 1: the rule was broken, 0: it held, 2: the case
# couldn't run. TROUBLE=0 plays it without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review-3/release/review-standin-3
[ -x "$stand_in" ] || { echo "build it first: review/build-3.sh" >&2; exit 2; }
# The case has a process group of its own, so that all that it started ends with it.
set -m
folder=$(dirname "$(mktemp -u)")
"$stand_in" rows review/8/record.txt &
case=$!
trap 'kill -KILL -- "-$case" 2>/dev/null; rm -rf "$folder/review-3-$case"; exit 2' INT TERM
wait "$case"
