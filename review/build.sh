#!/bin/sh
# The stand-ins are Python programs without dependencies (review/kit/platform_kit.py); nothing has to be compiled.
# Checks that Python is there and can read them. The project's program is built by deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
for file in kit/*.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
