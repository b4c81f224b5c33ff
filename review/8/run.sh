#!/bin/sh
# Plays the case and writes record.txt beside this script; see claim.txt. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py" "$here/record.txt"
