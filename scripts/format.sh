#!/usr/bin/env bash
# Formats all sources. With --check, changes nothing and fails if a source is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '\.capnp\.')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${sources[@]}"
  echo "format: ${#sources[@]} files are clean"
else
  clang-format -i "${sources[@]}"
fi
