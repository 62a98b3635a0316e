#!/bin/sh
# The stand-ins need the standard library only; this checks that they compile.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins.py [0-9]/case.py <<'END'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
END
