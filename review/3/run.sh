#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
command -v python3 > /dev/null || { echo "could not run: no python3"; exit 2; }
exec python3 -B "$folder/case.py"
