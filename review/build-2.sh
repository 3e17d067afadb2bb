#!/bin/sh
# The stand-ins of this review are Python modules of the standard library alone: nothing is compiled.
# Checks that they and the scripts can be read.
cd "$(dirname "$0")/.." || exit 1
python3 - review/4/smallsite.py review/4/engines.py review/[4-8]/case.py <<'PY'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
