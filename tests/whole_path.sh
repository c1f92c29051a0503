#!/usr/bin/env bash
# The binaries together: a router between both stand-ins answers, runs a resent non-idempotent request once, and on
# SIGTERM refuses new requests while an open stream ends whole (rules R7 and R9 of docs/design.md).
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
    [[ -f "$work/events.log" ]] && tail -n 20 "$work/events.log"
    exit 1
}

# eventually COMMAND...: repeats it until it succeeds, for 20 s at most.
eventually() {
    local try
    for ((try = 0; try < 200; try++)); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}

# start NAME ARGUMENT...: starts a stand-in and sets address to where it listens.
start() {
    local log="$work/$1.log"
    : >"$log"
    "build/foxtaildyke-$2" "${@:3}" >"$log" &
    pids+=($!)
    eventually grep -q "^listening on " "$log" || fail "$1 does not listen"
    address=$(sed -n 's/^listening on //p' "$log")
}

# ask KIND ID [FIELD]: one request; FIELD is added to the body.
ask() {
    curl -sN -m 20 "http://$router/v1/answers" -H 'Authorization: Bearer k-studio' \
        -H "Foxtaildyke-Request-Id: $(date +%s)-$2" -d "{\"kind\":\"$1\",\"prompt\":\"p\"${3:-}}"
}

start platform standin-platform --base tests/data/whole_path.ini
platform=$address
start models standin-upstream --platform "$platform" --name models-1 --service models --versions swift-1
models=$address
start desk standin-upstream --platform "$platform" --name desk-1 --service desk --versions desk-1
desk=$address
cat >"$work/router.ini" <<END
[process]
host = h1
region = r
failure_domain = d
listen = 127.0.0.1:0
platform = $platform
log = $work/events.log
END
build/foxtaildyke-router --config "$work/router.ini" &
router_pid=$!
pids+=("$router_pid")
eventually grep -q '"event":"started"' "$work/events.log" 2>/dev/null || fail "the router does not start"
router=$(sed -n 's/.*"event":"started","reason":"\([^"]*\)".*/\1/p' "$work/events.log")

is_answered() { ask page-tag first | grep -q '"outcome":"complete"'; }
eventually is_answered || fail "no complete answer"

id="$(date +%s)-twice"
twice() {
    curl -s -m 20 "http://$router/v1/answers" -H 'Authorization: Bearer k-studio' \
        -H "Foxtaildyke-Request-Id: $id" -d '{"kind":"receipt-check","prompt":"p"}'
}
twice | grep -q '"outcome":"complete"' || fail "the first send has no complete answer"
twice | grep -q '"repeated":true' || fail "the second send does not get the stored answer"
curl -s "http://$desk/counts" | grep -q "\"$id\":1" || fail "the desk did not run the request exactly once"

curl -s -X POST "http://$models/faults" -d '{"late_ms":4000}'
ask page-tag stream ',"stream":true' >"$work/stream" &
stream_pid=$!
is_running() { curl -s "http://$models/counts" | grep -q '"running":1'; }
eventually is_running || fail "the stream does not start"
kill -TERM "$router_pid"
is_draining() { ask page-tag late | grep -q '"reason":"draining"'; }
eventually is_draining || fail "a new request is not refused as draining"
curl -s -o /dev/null -w '%{http_code}' "http://$router/healthz" | grep -qx 503 || fail "the health check stays up"
kill -TERM "$router_pid"
wait "$stream_pid" || fail "the stream was cut off"
grep -q '"outcome":"complete"' "$work/stream" || fail "the stream did not end whole: $(cat "$work/stream")"
wait "$router_pid"
status=$?
[[ $status -eq 0 ]] || fail "the router ended with $status"
