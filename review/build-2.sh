#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: Python files that need
# nothing but the standard library. They run inside the process of the script.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2
