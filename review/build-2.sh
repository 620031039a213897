#!/usr/bin/env bash
# Prepares what the scripts in review/6 to review/10 start, after the build of
# deploy/system.toml. The stand-ins are Python and use the libraries in target/deps; this
# compiles them, so that a missing module shows here and not in a case.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps"
python3 -S -m compileall -q review/common2 review/6 review/7 review/8 review/9 review/10 emulator/platform
python3 -S -c "import review.common2.installation"
