#!/usr/bin/env bash
# Checks the models in spec/ with spin: each sound model exhaustively, and each broken variant, which must be refuted.
# Fails if a sound model has an error or its search is incomplete, or if a broken variant passes.
set -uo pipefail
cd "$(dirname "$0")/.."
source_directory=$PWD/spec
work=$(mktemp -d)
parent=$BASHPID
trap '[[ $BASHPID -eq $parent ]] && rm -rf "$work"' EXIT
failures=0

# Limits: depth 1,000,000 (the sound models reach less than 10,000), 1,000 MB, 120 s to allow for a busy machine.
kDepth=1000000
kSeconds=120

# check SOUND|BROKEN MODEL [-DDEFINE...]
check() {
    local expected=$1 model=$2
    shift 2
    local directory
    directory=$(mktemp -d -p "$work")
    if ! (cd "$directory" && cp "$source_directory/$model.pml" . && spin -a "$@" "$model.pml" >spin.log 2>&1 \
        && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1000 -o pan pan.c); then
        echo "FAILED: $model $*: does not compile"
        cat "$directory/spin.log"
        failures=$((failures + 1))
        return
    fi
    (cd "$directory" && timeout "$kSeconds" ./pan -m"$kDepth" -w23 >pan.log 2>&1)
    local status=$? log=$directory/pan.log verdict
    # Sound models may have unreached states, but the search must complete without an error.
    if grep -q "errors: 0" "$log" && [[ $status -eq 0 ]] \
        && ! grep -qE "Search not completed|max search depth too small|out of memory|reached -DMEMLIM" "$log"; then
        verdict=SOUND
    elif grep -qE "^pan:1: (assertion violated|invalid end state)" "$log"; then
        verdict=BROKEN
    else
        verdict=TRUNCATED
    fi
    printf '%-9s %-10s %-34s %s states, depth %s, %s s\n' "$verdict" "$model" "$*" \
        "$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$log")" \
        "$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$log")" \
        "$(sed -n 's/^pan: elapsed time \([0-9.]*\) seconds/\1/p' "$log")"
    if [[ $verdict != "$expected" ]]; then
        echo "FAILED: $model $*: expected $expected"
        failures=$((failures + 1))
    fi
    rm -rf "$directory"
}

check_ledger() {
    check SOUND ledger
    for variant in NO_FLOOR_CHECK NO_RECHECK LOST_IS_REFUSED NO_BATCH_ID DELETE_BEFORE_FLOOR BLIND_WRITE \
        ALL_BILLS_COUNT NO_COPY; do
        check BROKEN ledger -D$variant
    done
}

check_freshness() {
    check SOUND freshness -DRESTARTS=1
    check SOUND freshness -DRESTARTS=0 -DTWO_OPERATORS
    for variant in ACCEPT_AT_WRITE ACCEPT_NO_WAIT ACK_KEPT RECOVER_AT_ONCE RECOVER_FROM_ONE VOUCH_WHILE_RECOVERING \
        DATED_AT_RECEIPT VOUCH_MINORITY GENERATION_DOWN; do
        check BROKEN freshness -DRESTARTS=1 -D$variant
    done
    check BROKEN freshness -DRESTARTS=2 -DRECOVER_FROM_RECOVERING # needs two recovering hosts
    check BROKEN freshness -DRESTARTS=0 -DTWO_OPERATORS -DBLIND_UPDATE
}

check_fencing() {
    check SOUND fencing
    for variant in NO_TOKEN_CHECK TOKEN_REUSED LEASE_UNCONDITIONAL NO_READ_BACK UNSAFE_ORDER; do
        check BROKEN fencing -D$variant
    done
}

check_key_lease() {
    check SOUND key_lease
    for variant in RELAY_DATED_AT_RECEIPT HOST_DATED_AT_RECEIPT NO_AGE GOES_BACK CLOCK_STOPS NO_LEASE; do
        check BROKEN key_lease -D$variant
    done
}

check_rollout() {
    check SOUND rollout
    for variant in UNCONDITIONAL NO_LOCAL_STOP EVIDENCE_KEPT REVISION_OF_KIND TIME_ALONE REPORT_OF_ANY_ORDER; do
        check BROKEN rollout -D$variant
    done
}

check_store_era() {
    check SOUND store_era
    for variant in NO_ERA LATE_RESPONSE KEEPS_REVISION; do
        check BROKEN store_era -D$variant
    done
}

check_relay_evidence() {
    check SOUND relay_evidence
    for variant in KEPT_ON_SILENCE KEPT_ON_LEAVING REFUSAL_SAYS_NOTHING; do
        check BROKEN relay_evidence -D$variant
    done
}

# Checks the models in parallel; each search is single-threaded.
models=(ledger freshness fencing key_lease rollout store_era relay_evidence)
declare -A jobs
for model in "${models[@]}"; do
    (
        "check_$model"
        exit "$failures"
    ) >"$work/$model.out" 2>&1 &
    jobs[$model]=$!
done
status=0
for model in "${models[@]}"; do
    wait "${jobs[$model]}" || status=1
    cat "$work/$model.out"
done
exit "$status"
