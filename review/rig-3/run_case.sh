#!/bin/sh
# Runs a case: run_case.sh FOLDER PROGRAM. The case's program ends all
# processes that it starts; the record goes to record.txt in the folder.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
DAEMON=$root/target/daemon/lagoonhitchd
export DAEMON
for program in "$DAEMON" "$root/build-review-3/$2"; do
  if [ ! -x "$program" ]; then
    echo "missing: $(basename "$program"); see build-3.sh" >&2
    exit 2
  fi
done
timeout 115 "$root/build-review-3/$2" "$1/record.txt"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
