#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library only, so they are only compiled here as a check.
set -e
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/*.py <<'CHECK'
import os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
