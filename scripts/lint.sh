#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the files given as arguments. Needs build/ for the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."

sources=("$@")
if [ ${#sources[@]} -eq 0 ]; then
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '\.capnp\.')
fi
# Generated code is excluded above; lint_one.sh skips files that were clean before and have not changed since.
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 scripts/lint_one.sh
echo "lint: ${#sources[@]} files are clean"
