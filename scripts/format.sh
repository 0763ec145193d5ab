#!/usr/bin/env bash
# Formats all sources. With --check, only reports those that are not formatted
# and fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.?pp' 'platform/*.?pp' \
    'tests/*.?pp')
if [ ${#files[@]} -eq 0 ]; then
    exit 0
fi
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
