#!/bin/sh
# Builds what the scripts of this review start beside the gateways: stand-ins in plain Python,
# which need no more than a check that they parse. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -S - review/common3/*.py review/1[1-5]/*.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
echo "the stand-ins are ready"
