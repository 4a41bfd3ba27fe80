#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the build of the deploy file. Their
# stand-ins are Python 3 programs that use the standard library alone, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins_2.py review/{6,7,8,9,10}/case.py
