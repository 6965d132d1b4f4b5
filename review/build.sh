#!/bin/sh
# The stand-ins of the review are Python programs of the standard library only: building them is a
# check that they compile.
set -eu
cd "$(dirname "$0")"
for it in stand_ins.py [1-5]/*.py; do
  [ -e "$it" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$it"
done
