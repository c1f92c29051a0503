#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python 3.11 or later with its standard library, so that this only checks
# that they can be read. The gateway is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'PYTHON'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
