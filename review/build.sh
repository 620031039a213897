#!/usr/bin/env bash
# Builds the stand-ins of the review. They are Python without compiled parts and use only
# the libraries that the build of the deploy file put into target/deps, so that a check
# that they can be imported is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -S -c \
    "import review.standins.clients, review.standins.deployment, review.standins.workers"
echo "stand-ins built"
