#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benchmarks use.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy protobuf-compiler libprotobuf-dev
  libpoco-dev libgflags-dev libspdlog-dev doctest-dev libtomlplusplus-dev libxxhash-dev
  prometheus-cpp-dev libpcg-cpp-dev spin gnuplot-nox curl python3)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
