#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need, unless they are installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy
  libpoco-dev libcapnp-dev libboost1.81-dev libgflags-dev libfmt-dev libyaml-cpp-dev libxxhash-dev liblz4-dev
  libgtest-dev libgmock-dev librapidcheck-dev curl
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo="sudo"
  $sudo apt-get update -q
  $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
