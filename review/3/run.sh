#!/bin/sh
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps exec timeout -k 5 110 python3 review/3/check.py
