#!/usr/bin/env bash
# Runs clang-tidy on the sources given as arguments, or on all sources. Needs a
# configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' \
        'platform/*.cpp' 'tests/*.cpp')
fi
jobs=$(nproc)
printf '%s\0' "${files[@]}" |
    xargs -0 -r -n 1 -P "$jobs" clang-tidy -p build --quiet 2>/dev/null
