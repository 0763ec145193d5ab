#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
