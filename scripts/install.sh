#!/usr/bin/env bash
# Installs what the build and the checks need, from Debian's packages.
set -euo pipefail
packages=(
    build-essential cmake ninja-build ccache clang-format clang-tidy doxygen curl
    librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev libcapnp-dev libcxxopts-dev libboost-log-dev libboost-thread-dev
    libboost-system-dev libboost-test-dev libyaml-cpp-dev libcurl4-openssl-dev nlohmann-json3-dev libxxhash-dev libpcg-cpp-dev
    librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
