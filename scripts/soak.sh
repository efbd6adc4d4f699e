#!/usr/bin/env bash
# Runs the soak test of at-most-once execution, which is not part of CI, with a random seed unless one is given. Prints
# the seed.
#   scripts/soak.sh [--seed N] [--minutes M]
set -euo pipefail
cd "$(dirname "$0")/.."

seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
minutes=10
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed="$2"; shift 2 ;;
    --minutes) minutes="$2"; shift 2 ;;
    *) echo "usage: scripts/soak.sh [--seed N] [--minutes M]" >&2; exit 2 ;;
  esac
done
[ -x build/tests/keysoak ] || scripts/build.sh
# setsid: the operating system would send SIGHUP to paused processes of a group whose shell has exited.
FESCUEPOND_BUILD="$PWD/build" exec setsid --wait build/tests/keysoak --seed="$seed" --minutes="$minutes"
