#!/usr/bin/env bash
# End-to-end test of the binaries. A router between the platform emulator and upstream stubs serves requests, runs a
# retried non-idempotent request once, and on SIGTERM refuses new requests while an open stream completes (rules R7 and
# R9 of docs/design.md).
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
    : >"$log"
    "build/foxtaildyke-$2" "${@:3}" >"$log" &
    pids+=($!)
    eventually grep -q "^listening on " "$log" || fail "$1 does not listen"
    address=$(sed -n 's/^listening on //p' "$log")
}

# send_request KIND ID [FIELD]: sends one request; FIELD is added to the body.
send_request() {
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

has_complete_response() { send_request page-tag first | grep -q '"outcome":"complete"'; }
eventually has_complete_response || fail "no complete response"

id="$(date +%s)-twice"
send_receipt_check() {
    curl -s -m 20 "http://$router/v1/answers" -H 'Authorization: Bearer k-studio' \
        -H "Foxtaildyke-Request-Id: $id" -d '{"kind":"receipt-check","prompt":"p"}'
}
send_receipt_check | grep -q '"outcome":"complete"' || fail "the first attempt gets no complete response"
send_receipt_check | grep -q '"repeated":true' || fail "the retry does not get the stored response"
curl -s "http://$desk/counts" | grep -q "\"$id\":1" || fail "the desk upstream did not run the request exactly once"

curl -s -X POST "http://$models/faults" -d '{"late_ms":4000}'
send_request page-tag stream ',"stream":true' >"$work/stream" &
stream_pid=$!
is_running() { curl -s "http://$models/counts" | grep -q '"running":1'; }
eventually is_running || fail "the stream does not start"
kill -TERM "$router_pid"
is_draining() { send_request page-tag late | grep -q '"reason":"draining"'; }
eventually is_draining || fail "a new request is not refused with reason draining"
curl -s -o /dev/null -w '%{http_code}' "http://$router/healthz" | grep -qx 503 \
    || fail "the health check does not return 503 while draining"
kill -TERM "$router_pid"
wait "$stream_pid" || fail "the stream was interrupted"
grep -q '"outcome":"complete"' "$work/stream" || fail "the stream did not complete: $(cat "$work/stream")"
wait "$router_pid"
status=$?
[[ $status -eq 0 ]] || fail "the router exited with $status"
