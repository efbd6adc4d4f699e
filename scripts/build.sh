#!/usr/bin/env bash
# Installs missing packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
[ -f build/build.ninja ] || cmake -G Ninja -S . -B build
ninja -C build
