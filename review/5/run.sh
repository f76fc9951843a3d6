#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. exec python3 -m review.5.case
