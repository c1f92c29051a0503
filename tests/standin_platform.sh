#!/usr/bin/env bash
# Protocol conformance of the platform emulator. The failure tests rely on its conditional writes, fault injection and
# counters, and prove nothing if these are wrong.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
: >"$work/log"
build/foxtaildyke-standin-platform --weights-burst 2 --weights-per-second 0 >"$work/log" &
pid=$!
trap 'kill $pid 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT
for ((attempt = 0; attempt < 200; attempt++)); do
    grep -q listening "$work/log" && break
    sleep 0.05
done
base=http://$(sed -n 's/^listening on //p' "$work/log")
failures=0

# expect STATUS ARGUMENT...: checks the status of a curl call; saves the body to $work/body and the headers to
# $work/headers.
expect() {
    local status
    status=$(curl -s -m 20 -o "$work/body" -D "$work/headers" -w '%{http_code}' "${@:2}")
    [[ "$status" == "$1" ]] && return
    echo "line ${BASH_LINENO[0]}: expected $1, got $status from ${*:2}"
    failures=$((failures + 1))
}

# has TEXT FILE: checks that a file in $work contains TEXT.
has() {
    grep -qF "$1" "$work/$2" && return
    echo "line ${BASH_LINENO[0]}: no '$1' in $2: $(cat "$work/$2")"
    failures=$((failures + 1))
}

expect 404 "$base/objects/a/1"
expect 428 -X PUT -d x "$base/objects/a/1"
expect 201 -X PUT -H 'If-None-Match: *' -d one "$base/objects/a/1"
has 'ETag: "1"' headers
expect 412 -X PUT -H 'If-None-Match: *' -d two "$base/objects/a/1"
expect 412 -X PUT -H 'If-Match: "9"' -d two "$base/objects/a/1"
expect 200 -X PUT -H 'If-Match: "1"' -d two "$base/objects/a/1"
expect 200 "$base/objects/a/1"
has two body
has 'ETag: "2"' headers
expect 412 -X DELETE -H 'If-Match: "1"' "$base/objects/a/1"
expect 200 -X DELETE -H 'If-Match: "2"' "$base/objects/a/1"
expect 201 -X PUT -H 'If-None-Match: *' -d three "$base/objects/a/1"
has 'ETag: "3"' headers
expect 201 -X PUT -H 'If-None-Match: *' -d x "$base/objects/a/2"
expect 201 -X PUT -H 'If-None-Match: *' -d x "$base/objects/b/1"
expect 200 "$base/objects?prefix=a/&after=a/1&limit=5"
has '{"items":[{"key":"a/2","version":4}]}' body
head -c 1000001 /dev/zero >"$work/large"
expect 413 -X PUT -H 'If-None-Match: *' --data-binary "@$work/large" "$base/objects/large"

# A watch returns on a change, or at its timeout if there is none.
expect 304 "$base/objects/b/1?watch=5&timeout_ms=50"
curl -s -m 20 -o "$work/watched" "$base/objects/b/1?watch=5&timeout_ms=15000" &
watch=$!
for ((attempt = 0; attempt < 200; attempt++)); do
    curl -s "$base/counts" | grep -q '"watches":2' && break
    sleep 0.05
done
expect 200 -X PUT -H 'If-Match: "5"' -d changed "$base/objects/b/1"
wait "$watch"
has changed watched

# Lost response: the write takes effect, but the caller sees a closed connection.
expect 200 -X POST -d '{"lose_answers":1}' "$base/faults"
expect 000 -X PUT -H 'If-None-Match: *' -d kept "$base/objects/lost"
expect 200 "$base/objects/lost"
has kept body
expect 200 -X POST -d '{"outage":true}' "$base/faults"
expect 503 "$base/objects/lost"
expect 503 "$base/objects?prefix=a/"
expect 200 -X POST -d '{"outage":false}' "$base/faults"
expect 200 "$base/objects/lost"
expect 400 -X POST -d '{"outage":1}' "$base/faults"

expect 200 -X POST -d '{"name":"u1","address":"127.0.0.1","port":1}' "$base/hosts"
expect 200 -X POST -d '{"host_list_lag_ms":60000}' "$base/faults"
expect 200 "$base/hosts"
has '"hosts":[]' body
expect 200 -X POST -d '{"host_list_lag_ms":0}' "$base/faults"
expect 200 -X POST -d '{"name":"u1","state":"leaving"}' "$base/hosts"
expect 200 "$base/hosts"
has '"state":"leaving"' body
has '"version":2' body

expect 200 -X POST -d '{"kind":"k","text":"word [score=873]"}' "$base/rate"
has '{"score":0.873}' body
expect 200 -X POST -d '{"rating_down":true}' "$base/faults"
expect 503 -X POST -d '{"kind":"k","text":"word"}' "$base/rate"
expect 200 -X POST -d '{}' "$base/weights"
expect 200 -X POST -d '{}' "$base/weights"
expect 429 -X POST -d '{}' "$base/weights"
has 'Retry-After: 1' headers
expect 200 "$base/counts"
has '"conflicts":3' body
has '"lost_answers":1' body
has '"refused":2' body
[[ $failures -eq 0 ]]
