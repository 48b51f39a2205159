#!/usr/bin/env bash
# Starts stand-ins and six daemons on loopback, sends a request of four stages, shows the
# answer and the fleet's status, and stops everything.
#
# BIN names a directory with built binaries; without it they are built first.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
prepare_fleet

"$bin/primrosewalk-standins" fleet --dir "$dir" --vms 6 --data-centres 3 --organisations 2
key=$(sed -n 's/^org-1 //p' "$dir/keys.txt")
start_standins --forbidden "$key"
start_daemons
first=$(head -n 1 "$dir/daemons.txt")
echo "== six daemons are ready; sending a request of four stages"
"$bin/primrosewalk" send --vm-address "$(flag_of caller-address "$first")" --key "$key" \
    --pipeline answer --input '{"question":"when does pollination start?"}'
echo "== status as the first VM sees it"
"$bin/primrosewalk" status --operator-address "$(flag_of operator-address "$first")"
