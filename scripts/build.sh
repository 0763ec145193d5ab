#!/usr/bin/env bash
# Installs missing packages and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
