#!/usr/bin/env bash
# Compiles the stand-ins of the third review; they use the libraries of target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -c "import msgspec, tornado"
PYTHONPYCACHEPREFIX=target/review-3 python3 -m compileall -q review/standins_3
