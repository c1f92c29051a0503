#!/usr/bin/env bash
# Virtual-time experiments. Guards against example settings that no longer load, results that differ between runs with
# equal seeds, an overloaded pool that halts a good version, and a policy cost at the quality target above 0.6 of the
# cost of always using the strongest model.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
load=build/foxtaildyke-load

for settings in examples/experiments/*.ini; do
    "$load" --virtual --check --config "$settings"
done
"$load" --config examples/experiments/overload.ini --virtual --no-such-option 2>/dev/null && exit 1
[[ $? -ne 0 ]]

overload=examples/experiments/overload.ini
"$load" --virtual --config "$overload" --arm capacity-1.5 --json "$work/a.json" --svg "$work/a.svg" >"$work/a.txt"
"$load" --virtual --config "$overload" --arm capacity-1.5 --json "$work/b.json" >"$work/b.txt"
cmp "$work/a.json" "$work/b.json" || { echo "equal seeds give different results"; exit 1; }
grep -q '</svg>' "$work/a.svg"
! grep -q 'good version .* halted' "$work/a.txt" || { echo "a good version was halted under overload"; exit 1; }

for deployment in lin-shou solleciti-padani; do
    "$load" --virtual --config "examples/experiments/$deployment-policy.ini" >"$work/policy.txt"
    ratio=$(sed -n '/^arm policy /,/relative to/s/.*relative to strongest: \([0-9.]*\);.*/\1/p' "$work/policy.txt")
    awk -v r="$ratio" 'BEGIN { exit !(r > 0 && r <= 0.6) }' \
        || { echo "$deployment: cost ratio '$ratio' is not in (0, 0.6]"; exit 1; }
done
