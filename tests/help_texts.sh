#!/usr/bin/env bash
# Command line tests: each help text matches its golden file, so that option changes show up in review, and invalid
# options and settings give the exit codes that scripts rely on.
set -uo pipefail
cd "$(dirname "$0")/.."
failures=0
fail() {
    echo "$1"
    failures=$((failures + 1))
}

for golden in tests/golden/help/*.txt; do
    name=$(basename "$golden" .txt)
    diff -u "$golden" <("build/$name" --help) || fail "$name --help does not match $golden"
    "build/$name" --version | grep -Eqx "$name [0-9]+\.[0-9]+\.[0-9]+" \
        || fail "$name --version does not print name and version number"
    "build/$name" --no-such-option 2>/dev/null
    [[ $? -eq 2 ]] || fail "$name accepts an unknown option"
done

settings=$(mktemp)
trap 'rm -f "$settings"' EXIT
# expect CODE TEXT: exit code and output of foxtaildyke-router --check for the settings on standard input.
expect() {
    local output status
    cat >"$settings"
    output=$(build/foxtaildyke-router --check --config "$settings" 2>&1)
    status=$?
    [[ $status -eq $1 && "$output" == *"$2"* ]] \
        || fail "expected exit code $1 and output '$2', got $status and '$output'"
}
common=$'[process]\nhost=h\nregion=r\nfailure_domain=d\nplatform=127.0.0.1:1\n'
expect 0 "" <<<"${common}listen=127.0.0.1:0"$'\n[seed h2]\npeer=[::1]:7'
expect 3 "missing_key: process/listen" <<<"$common"
expect 3 "missing_key: process/host" <<<$'[process]\nregion=r'
expect 3 "value_out_of_range: process/listen" <<<"${common}listen=localhost:1"
expect 3 "unknown_key: process/port" <<<"${common}port=1"
expect 3 "unknown_section: proces" <<<"${common}"$'[proces]\na=1'
expect 3 "invalid_syntax" <<<"[process"
expect 3 "value_out_of_range: seed a/peer" <<<"${common}"$'[seed a]\npeer=x'
build/foxtaildyke-router 2>/dev/null
[[ $? -eq 2 ]] || fail "foxtaildyke-router starts without settings"
build/foxtaildyke-standin-upstream --check --slots x 2>/dev/null
[[ $? -eq 2 ]] || fail "foxtaildyke-standin-upstream accepts a non-numeric slot count"
[[ $failures -eq 0 ]]
