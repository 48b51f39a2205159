#!/usr/bin/env bash
# Runs a load scenario against a fleet on loopback, then stops the fleet.
#
#     scripts/scenario.sh nakheel|mwangaza [baseline|random|no-retry-budget]
#
# The second argument selects a variant for comparison: `baseline` starts the daemons with
# --quota static-share, `random` with --routing random, `no-retry-budget` with
# --retry-budget off. Network latency between data centres is under 2 ms in both scenarios and
# is not emulated. The report is printed, and written to target/scenarios together with a plot.
# If BIN names a directory with built binaries, those are used; otherwise they are built first.
# SCENARIO_FLAGS holds further flags for `primrosewalk load`.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
variant=${2:-}
daemon_flags=()
case $variant in
'') ;;
baseline) daemon_flags=(--quota static-share) ;;
random) daemon_flags=(--routing random) ;;
no-retry-budget) daemon_flags=(--retry-budget off) ;;
*) name='' ;;
esac
case $name in
nakheel)
    fleet_flags=(--vms 6 --engines 9 --rate 60 --rate 60 --rate 25 --rate 15 --rate 8
        --pipeline job-brief=encoder,retriever,reranker,engine
        --pipeline season-plan=encoder,retriever,reranker,engine
        --pipeline quote=encoder,retriever,engine
        --pipeline booking=encoder,bookings!
        --pipeline payout=records,payments!
        --pipeline record=encoder,retriever,records
        --open-pipeline catalogue=encoder,retriever,reranker)
    ;;
mwangaza)
    fleet_flags=(--vms 7 --engines 12 --rate 75 --rate 75 --rate 30 --rate 15 --rate 8
        --pipeline assistant=encoder,retriever,reranker,engine
        --pipeline balance=records,retriever,reranker
        --pipeline top-up=records,payments!
        --open-pipeline tariffs=encoder,retriever,reranker)
    ;;
*)
    echo "usage: scripts/scenario.sh nakheel|mwangaza [baseline|random|no-retry-budget]" >&2
    exit 2
    ;;
esac
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
prepare_fleet

"$bin/primrosewalk-standins" fleet --dir "$dir" --data-centres 3 --organisations 5 \
    --endpoints-per-service 4 --burst 40 "${fleet_flags[@]}"
forbidden=()
while read -r _ key; do
    # All API keys of an organisation have the same prefix. Searching for the prefix also finds
    # the keys that the scenario adds later.
    forbidden+=(--forbidden "${key%-*}-")
done <"$dir/keys.txt"
start_standins "${forbidden[@]}"
start_daemons "${daemon_flags[@]}"
mkdir -p target/scenarios
out=target/scenarios/$name${variant:+-$variant}
# shellcheck disable=SC2086
"$bin/primrosewalk" load --scenario "scenarios/$name.toml" --fleet-dir "$dir" \
    --json "$out.json" --plot "$out.svg" ${SCENARIO_FLAGS:-} | tee "$out.txt"
echo "report and plot: $out.json $out.svg"
