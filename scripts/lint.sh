#!/usr/bin/env bash
# Runs clang-tidy over the sources named as arguments, or over all of them.
# Needs a configured build/.
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
