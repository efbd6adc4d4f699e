#!/usr/bin/env bash
# Runs clang-tidy on one source file. The file is skipped if it was clean before, and neither it, nor any header of the
# repository, nor .clang-tidy has changed since.
set -euo pipefail
source="$1"
cache="build/lint"
mkdir -p "$cache"
own_headers=$(git ls-files --cached --others --exclude-standard '*.h' | xargs cat | sha256sum)
key=$( (cat "$source" .clang-tidy; echo "$own_headers") | sha256sum | cut -c1-40)
[ -e "$cache/$key" ] && exit 0
if ! output=$(clang-tidy -p build --quiet "$source" 2>/dev/null); then
  echo "$output"
  exit 1
fi
touch "$cache/$key"
