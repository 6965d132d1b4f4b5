#!/bin/sh
# Writes record.txt beside this file: what was sent, answered and run. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
exec timeout 118 python3 "$(dirname "$0")/case.py"
