#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs, so this only
# checks that they can be read and that the programs under test are there.
set -eu
cd "$(dirname "$0")/.."
python3 - review/common/*.py review/[34]/*.py review/beyond/*/*.py <<'CHECK'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
for program in entry control; do
    test -x "target/bin/boragestand-platform-$program"
done
