#!/usr/bin/env bash
# Builds, checks the format, the linter's findings and the layering, and runs all tests; those of
# KNOWN-RED.txt are run and printed, but do not decide the result.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
scripts/layering.sh
scripts/format.sh --check
scripts/lint.sh
scripts/test.sh
