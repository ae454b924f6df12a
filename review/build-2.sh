#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python (standard library only), so nothing has to be compiled.
# Checks that they can be loaded; the program itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in kit-2/platform2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -e "$file" ] || python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
[ -x ../target/release/ivyward ] || { echo "target/release/ivyward is missing: run the build of deploy/balancer.toml"; exit 1; }
