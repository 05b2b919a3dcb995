#!/usr/bin/env bash
# Writes record.txt. Exit status: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
python3 -B case.py &
trap 'kill $!; wait $!; exit 2' TERM INT
wait $!
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
