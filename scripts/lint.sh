#!/usr/bin/env bash
# Runs the linter over all sources, or over the files that are named. Needs a build folder for the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."

sources=("$@")
if [ ${#sources[@]} -eq 0 ]; then
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '\.capnp\.')
fi
# Generated code is not ours to lint; results of unchanged files are kept beside the build.
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 scripts/lint_one.sh
echo "lint: ${#sources[@]} files are clean"
