#!/usr/bin/env bash
# Prints the processor time that each kind of message costs the nodes of build/. With --compare DIR, measures the nodes of
# another build folder in turn with the own ones and prints the ratios. Fails only if nothing can be measured.
set -euo pipefail
cd "$(dirname "$0")/.."

arguments=()
while [ $# -gt 0 ]; do
  case "$1" in
    --compare)
      [ $# -ge 2 ] || { echo "--compare needs a build folder" >&2; exit 2; }
      arguments+=("--compare=$2")
      shift 2
      ;;
    *)
      echo "usage: scripts/budget.sh [--compare DIR]" >&2
      exit 2
      ;;
  esac
done
exec build/benchmarks/callcost/callcost_benchmark --seconds=1 --rounds=2 "${arguments[@]}"
