#!/bin/sh
# The stand-ins of the scripts 11 to 15 are Python and use the standard library only.
cd "$(dirname "$0")/.." && python3 -m py_compile review/lib3/fleet.py review/1[1-5]/*.py
