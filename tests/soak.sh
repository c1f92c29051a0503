#!/usr/bin/env bash
# Short seeded soaks of six gateway processes: restarts, kills, freezes, outages of the store, changes (tests/soak/soak.py);
# entries of other writers and odd responses of replicas (tests/soak/odd_entries.py); hosts that catch up with the store
# (tests/soak/config_soak.py).
# Guards against processes that end by themselves, requests that run twice, answers that are lost, mixed or untrue, and
# withdrawn keys that run.
# Longer runs: --help of each.
set -uo pipefail
cd "$(dirname "$0")/.."
python3 tests/soak/soak.py --untimed --gateways 6 --seconds 20 --seed 1 --seeds 3 &&
    python3 tests/soak/odd_entries.py --untimed --gateways 6 --seconds 15 --seed 501 --seeds 2 &&
    python3 tests/soak/config_soak.py --untimed --gateways 6 --replicas 8 --seconds 25 --seed 7001 --troubles catch_up
