#!/usr/bin/env bash
# Builds the model, runs one measurement or all of them, prints the result lines
# and writes them as tables to docs/MEASUREMENTS.md.
# Usage: scripts/measure.sh [NAME]; SEED in the environment sets the seed
# (default 4117).
set -euo pipefail
cd "$(dirname "$0")/.."

name=${1:-all}
seed=${SEED:-4117}
results=build/measurement-results.txt

scripts/install-packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target boragestand-model >/dev/null
build/bin/boragestand-model --measure "$name" --seed "$seed" | tee "$results"
scripts/measurement_tables.py "$results" docs/MEASUREMENTS.md \
    "$(git rev-parse --short HEAD)" \
    "SEED=$seed scripts/measure.sh $name"
