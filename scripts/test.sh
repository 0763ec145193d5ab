#!/usr/bin/env bash
# Builds and runs the whole test suite through CTest. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
jobs=$(($(nproc) / 2 > 0 ? $(nproc) / 2 : 1))
ctest --test-dir build --output-on-failure -j "$jobs" "$@"
