#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 2 116 python3 case.py &
running=$!
# The case ends all processes that it started when it is ended.
trap 'kill -TERM "$running" 2>/dev/null; wait "$running"; exit 2' TERM INT HUP
wait "$running"
case $? in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
