#!/usr/bin/env bash
# The short set of experiments; each prints CSV.
cd "$(dirname "$0")/.." || exit 1
echo "== slopes"
"${OH_BUILD:-build}/oleanderhall-slopes"
echo "== control cost"
bench/control.sh
echo "== load"
bench/load.sh
