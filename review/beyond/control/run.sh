#!/bin/sh
# Not a case: it runs for 150 s. Exits like a case.
exec timeout -s TERM -k 5 180 python3 -B "$(dirname "$0")/case.py"
