#!/usr/bin/env bash
# Builds, checks the format, the linter's findings and the layering, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
scripts/layering.sh
scripts/format.sh --check
scripts/lint.sh
ctest --test-dir build --output-on-failure -j 4
