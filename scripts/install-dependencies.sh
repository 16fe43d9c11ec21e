#!/usr/bin/env bash
# Installs every Debian package that building, checking and testing posthatch needs.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache pkg-config git
  clang clang-format clang-tidy gnuplot-nox python3 python3-aiohttp shellcheck
  libboost1.81-dev libboost-json1.81-dev
  libprotobuf-dev protobuf-compiler libabsl-dev
  libspdlog-dev libfmt-dev libcli11-dev libtomlplusplus-dev
  libxxhash-dev prometheus-cpp-dev libssl-dev
  libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
