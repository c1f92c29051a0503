#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are written in Python with its standard library only: nothing is compiled. This checks that
# they can run, and that the deploy file's build has left the gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 -m py_compile review/standins-2/platform2.py
test -x target/foxtaildyke-gateway
