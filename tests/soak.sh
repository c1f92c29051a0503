#!/usr/bin/env bash
# A short seeded soak of six gateway processes (tests/soak/soak.py): restarts, kills, freezes, outages of the store, changes.
# Guards against processes that end by themselves, requests that run twice, answers that are lost, mixed or untrue.
# Longer runs: tests/soak/soak.py --help.
set -uo pipefail
cd "$(dirname "$0")/.."
python3 tests/soak/soak.py --untimed --gateways 6 --seconds 20 --seed 1 --seeds 3
