#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain Python of the standard library, compiled
# once to see that it can be read. The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted([*pathlib.Path("lib").glob("*.py"), *pathlib.Path().glob("[0-9]/*.py")]):
    compile(path.read_text(), str(path), "exec")
PYTHON
