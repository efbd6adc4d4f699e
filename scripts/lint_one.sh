#!/usr/bin/env bash
# Lints one source file, unless neither it nor anything it could include has changed since it was last clean.
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
