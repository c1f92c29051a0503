#!/usr/bin/env bash
# Tests foxtaildyke-control and foxtaildyke-ctl over loopback against the platform emulator: exit codes, conflicts,
# withdrawal and store faults. Guards against commands that report success for a change that was not made.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=build
work=$(mktemp -d)
pids=()
failures=0

cleanup() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
    done
    rm -rf "$work"
}
trap cleanup EXIT

# expect STATUS NAME COMMAND...: runs a command and checks its exit status.
expect() {
    local expected=$1 name=$2
    shift 2
    "$@" >"$work/out" 2>"$work/err"
    local status=$?
    if [[ $status -ne $expected ]]; then
        echo "FAILED $name: status $status, expected $expected"
        cat "$work/out" "$work/err"
        failures=$((failures + 1))
    fi
}

# contains NAME TEXT: checks that the output of the last command contains TEXT.
contains() {
    if ! grep -qF -- "$2" "$work/out" "$work/err"; then
        echo "FAILED $1: no '$2' in the output"
        cat "$work/out" "$work/err"
        failures=$((failures + 1))
    fi
}

# wait_for FILE PATTERN: waits up to 10 s for a matching line.
wait_for() {
    for _ in $(seq 100); do
        grep -qE "$2" "$1" 2>/dev/null && return 0
        sleep 0.1
    done
    echo "FAILED: no '$2' in $1"
    exit 1
}

"$bin/foxtaildyke-standin-platform" --listen 127.0.0.1:0 >"$work/platform" 2>&1 &
pids+=($!)
wait_for "$work/platform" 'listening on'
platform=$(sed -n 's/.*listening on //p' "$work/platform" | head -n 1)

cat >"$work/control.ini" <<EOF
[process]
host = zhongshan-1
region = taipei
failure_domain = zhongshan-hall
platform = $platform
admin_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:1
log = $work/events
[operator ada]
key = ada-operator-key-1
role = editor
[operator vi]
key = vi-viewer-key-0001
EOF
echo ada-operator-key-1 >"$work/ada"
echo vi-viewer-key-0001 >"$work/vi"
expect 0 "control --check" "$bin/foxtaildyke-control" --config "$work/control.ini" --check
expect 2 "control without settings" "$bin/foxtaildyke-control"
sed 's/role = editor/role = root/' "$work/control.ini" >"$work/bad.ini"
expect 3 "control with a wrong role" "$bin/foxtaildyke-control" --config "$work/bad.ini" --check

"$bin/foxtaildyke-control" --config "$work/control.ini" >"$work/control" 2>&1 &
control=$!
pids+=("$control")
wait_for "$work/events" '"event":"started"'
server=$(sed -n 's/.*"event":"started","reason":"\([^"]*\)".*/\1/p' "$work/events" | head -n 1)
ctl() { "$bin/foxtaildyke-ctl" --server "$server" --key-file "$work/ada" "$@"; }

expect 0 "check" "$bin/foxtaildyke-ctl" check examples/lin-shou
expect 0 "check the other deployment" "$bin/foxtaildyke-ctl" check examples/solleciti-padani
expect 3 "check with an overlay of another deployment" "$bin/foxtaildyke-ctl" check examples/lin-shou/base.ini examples/solleciti-padani/sala-lodi.ini
contains "check with an overlay of another deployment" "overlay_contradicts_base: sala-lodi"
expect 1 "check of a missing file" "$bin/foxtaildyke-ctl" check "$work/none/base.ini"
expect 2 "unknown command" ctl frob
expect 2 "no server" "$bin/foxtaildyke-ctl" status

cp -r examples/lin-shou "$work/files"
expect 0 "diff" ctl diff "$work/files"
contains "diff" "base [account chen-legal-clinic] api_key = (hidden)"
expect 5 "first apply" ctl apply --change-id first "$work/files"
contains "first apply" "generation: 1"
expect 5 "retry of the first apply" ctl apply --change-id first "$work/files"
contains "retry of the first apply" "generation: 1"
expect 1 "change by a viewer" "$bin/foxtaildyke-ctl" --server "$server" --key-file "$work/vi" withdraw draft-large-1
contains "change by a viewer" "forbidden"

sed -i 's/^burst = 6$/burst = 7/' "$work/files/base.ini"
expect 5 "second apply" ctl apply --generation 1 "$work/files"
contains "second apply" "generation: 2"
sed -i 's/^burst = 7$/burst = 8/' "$work/files/base.ini"
expect 4 "apply based on generation 1" ctl apply --generation 1 "$work/files"
contains "apply based on generation 1" "conflict: account student-law-review/burst"

expect 5 "withdraw" ctl withdraw draft-small-1
expect 3 "apply that reinstates a withdrawn version" ctl apply "$work/files"
contains "apply that reinstates a withdrawn version" "version_reinstated: version draft-small-1/state"
expect 4 "rollout start of an active version" ctl rollout start draft-small-2
expect 5 "rollout halt" ctl rollout halt draft-small-2
expect 5 "rollout start" ctl rollout start draft-small-2
expect 5 "rollout step" ctl rollout step draft-small-2
expect 5 "rollout finish" ctl rollout finish draft-small-2
expect 0 "history" ctl history
contains "history" "base [version draft-small-2] share_permille = 50"

# A write whose response is lost is applied exactly once: the generation grows by one.
curl -sS -d '{"lose_answers":1}' "http://$platform/faults" >/dev/null
expect 5 "withdraw with a lost response" ctl withdraw draft-large-1
contains "withdraw with a lost response" "generation: 8"
curl -sS -d '{"outage":true}' "http://$platform/faults" >/dev/null
expect 1 "withdraw in an outage" ctl withdraw draft-large-2
contains "withdraw in an outage" "unavailable"
curl -sS -d '{"outage":false}' "http://$platform/faults" >/dev/null
expect 0 "status after the outage" ctl status
contains "status after the outage" "generation: 8"

kill -TERM "$control"
wait "$control"
expect 0 "control ends on SIGTERM" test $? -eq 0
expect 0 "time line" "$bin/foxtaildyke-timeline" --generation=3 "$work/events"
contains "time line" "change_published"
expect 0 "time line as JSON" "$bin/foxtaildyke-timeline" --json "$work/events"
contains "time line as JSON" '"damaged_lines":0'

echo "control_cli: $failures failures"
[[ $failures -eq 0 ]]
