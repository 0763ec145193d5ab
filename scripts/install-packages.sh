#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(
    g++ cmake ninja-build pkg-config ccache clang-format clang-tidy
    libglib2.0-dev libnghttp2-dev libboost-dev libboost-program-options-dev
    liblog4cplus-dev libexpected-dev libyaml-cpp-dev libmsgpack-cxx-dev
    libtins-dev libxxhash-dev libzstd-dev librapidcheck-dev libgtest-dev libgmock-dev
    libbenchmark-dev nlohmann-json3-dev python3 curl iproute2
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
