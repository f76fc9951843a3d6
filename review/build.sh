#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python and use only the libraries that
# the build of the deploy file has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -c "import msgspec, tornado, zmq"
python3 - <<'CHECK'
"""Checks that every stand-in and case compiles; writes nothing."""
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
