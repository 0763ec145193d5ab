#!/usr/bin/env bash
# Builds everything and runs the test suite with CTest. Arguments are passed to
# ctest.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
jobs=$(($(nproc) / 2 > 0 ? $(nproc) / 2 : 1))
ctest --test-dir build --output-on-failure -j "$jobs" "$@"
