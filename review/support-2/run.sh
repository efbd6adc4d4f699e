#!/usr/bin/env bash
# Runs the case whose number is given, and removes its temporary folder. TROUBLE=0: without the disruption.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2

number="$1"
programs=target/review-2
if [ ! -x "$programs/case-$number" ] || [ ! -x target/fescuepond ]; then
  echo "build the deploy file's target and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 "$programs/case-$number" "${TROUBLE:-1}" "$programs" "$folder" "review/$number/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
