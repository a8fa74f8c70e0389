#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
for python in python3 python3.13 python3.12 python3.11; do
    "$python" -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null || continue
    exec "$python" -B case.py
done
echo "Python 3.11 or newer is needed"
exit 2
