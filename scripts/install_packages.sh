#!/usr/bin/env bash
# Installs the Debian packages that the build needs. Accesses the
# network only if a package is missing.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config ccache clang-format clang-tidy
    libh2o-evloop-dev libhttp-parser-dev libssl-dev zlib1g-dev libmsgpack-cxx-dev nlohmann-json3-dev libboost-dev
    libxxhash-dev libgflags-dev liblog4cxx-dev libcpputest-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null | grep -qx installed || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
