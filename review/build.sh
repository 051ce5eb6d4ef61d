#!/bin/sh
# The stand-ins are plain Python that needs nothing but the standard library: only checks that they can be read.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -c '
import ast, pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
