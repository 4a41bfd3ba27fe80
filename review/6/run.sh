#!/usr/bin/env bash
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
cd "$(dirname "$0")/../.." && exec python3 review/6/case.py
