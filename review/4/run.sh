#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import tornado, review.standins.system" || exit 2
exec python3 -m review.4.case
