#!/usr/bin/env bash
# Prepares what the scripts of the second review start besides the build of the deploy file. Their
# stand-ins are Python scripts of the standard library alone, so nothing is built; they are only read.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standins_2.py {6,7,8,9,10}/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1])" "$file"
done
echo "the stand-ins are ready"
