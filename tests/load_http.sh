#!/usr/bin/env bash
# Runs the load generator over HTTP against a router process and the stubs. Guards against malformed requests, which the
# router rejects, and against responses that the load generator cannot parse.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
    [[ ${#pids[@]} -gt 0 ]] && kill "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT
fail() {
    echo "$1"
    cat "$work"/load.* 2>/dev/null
    exit 1
}

# eventually COMMAND...: retries the command until it succeeds, for up to 20 s.
eventually() {
    local attempt
    for ((attempt = 0; attempt < 200; attempt++)); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}

# start NAME PROGRAM ARGUMENT...: starts a stub and sets address to its listen address.
start() {
    local log="$work/$1.log"
    "build/foxtaildyke-$2" "${@:3}" >"$log" &
    pids+=($!)
    eventually grep -q "^listening on " "$log" || fail "$1 does not listen"
    address=$(sed -n 's/^listening on //p' "$log")
}

start platform standin-platform --base tests/data/whole_path.ini
platform=$address
start models standin-upstream --platform "$platform" --name models-1 --service models --versions swift-1
start desk standin-upstream --platform "$platform" --name desk-1 --service desk --versions desk-1
printf '[process]\nhost = h1\nregion = r\nfailure_domain = d\nlisten = 127.0.0.1:0\nplatform = %s\nlog = %s\n' \
    "$platform" "$work/events.log" >"$work/router.ini"
build/foxtaildyke-router --config "$work/router.ini" &
pids+=($!)
eventually grep -q '"event":"started"' "$work/events.log" 2>/dev/null || fail "the router does not start"
router=$(sed -n 's/.*"event":"started","reason":"\([^"]*\)".*/\1/p' "$work/events.log")

has_complete_response() {
    curl -s -m 5 "http://$router/v1/answers" -H 'Authorization: Bearer k-studio' -d '{"kind":"page-tag","prompt":"p"}' \
        | grep -q '"outcome":"complete"'
}
eventually has_complete_response || fail "no complete response"

cat tests/data/whole_path.ini - >"$work/load.ini" <<END

[experiment]
title = HTTP
duration_s = 3
routers = $router

[workload tags]
kind = page-tag
accounts = studio
rate_per_s = 20
session_length = 3
think_s = 0.3
prompt_tokens = 50
completion_tokens = 5

[workload receipts]
kind = receipt-check
accounts = studio
rate_per_s = 5
prompt_tokens = 20
completion_tokens = 5
duplicate_permille = 200
END
build/foxtaildyke-load --config "$work/load.ini" --json "$work/load.json" >"$work/load.txt" \
    || fail "the load generator failed"
completed=$(awk '$1 == "all" { print ($2 > 30 && $2 == $3) }' "$work/load.txt")
[[ "$completed" == 1 ]] || fail "not every request got a complete response"
