#!/bin/sh
# Checks that the stand-ins of review/6 to review/10 can be run. They are plain Python
# with the standard library only, so that nothing is built. The daemons come from the
# build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || {
  echo "target/deps: run the build of deploy/system.toml first" >&2
  exit 1
}
for file in review/parts-2/*.py review/[0-9]*/case.py; do
  case $file in review/[1-5]/*) continue ;; esac
  python3 - "$file" <<'CHECK'
import ast
import pathlib
import sys

ast.parse(pathlib.Path(sys.argv[1]).read_bytes(), sys.argv[1])
CHECK
done
