#!/usr/bin/env bash
# Prepares what the scripts start besides the build of the deploy file: their stand-ins are Python and need only python3.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "python3 from 3.11 on is needed"; import asyncio, tomllib'
for file in harness/*.py [1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "stand-ins checked"
