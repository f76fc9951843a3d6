#!/usr/bin/env bash
# Puts the libraries and links to the packages where the processes find them.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ "$deps/.installed" -nt requirements.txt ] || ! [ "$deps/.installed" -nt constraints.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --upgrade --target "$deps" \
        --constraint constraints.txt --requirement requirements.txt
    touch "$deps/.installed"
fi
for package in packages/core/banyanwheel_core packages/jobs/banyanwheel_jobs \
    packages/daemon/banyanwheel_daemon platform/banyanwheel_platform; do
    ln -sfn "../../$package" "$deps/$(basename "$package")"
done
python3 -m compileall -q "$deps" packages platform
