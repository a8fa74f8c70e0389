#!/bin/sh
# The scripts' stand-ins are Python programs on the standard library alone, so there is nothing to
# compile; this checks that they parse here. The nodes come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
for file in lib/*.py [1-5]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/oleanderhall-fleetd
