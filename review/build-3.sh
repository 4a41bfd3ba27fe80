#!/bin/sh
# Checks the stand-ins of the third review. They are Python programs (3.11) that use nothing but the standard
# library, so there is nothing to build.
set -e
cd "$(dirname "$0")"
for file in standins_3.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
