#!/usr/bin/env bash
# Starts the stand-ins and six daemons on loopback, sends a request to a pipeline of four
# stages, prints the answer and the fleet's status, and stops all processes.
#
# If BIN names a directory with built binaries, those are used; otherwise they are built first.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
prepare_fleet

"$bin/primrosewalk-standins" fleet --dir "$dir" --vms 6 --data-centres 3 --organisations 2
key=$(sed -n 's/^org-1 //p' "$dir/keys.txt")
start_standins --forbidden "$key"
start_daemons
first_daemon=$(head -n 1 "$dir/daemons.txt")
echo "== six daemons are ready; sending a request to a pipeline of four stages"
"$bin/primrosewalk" send --vm-address "$(flag_of caller-address "$first_daemon")" --key "$key" \
    --pipeline answer --input '{"question":"when does pollination start?"}'
echo "== status as reported by the first VM"
"$bin/primrosewalk" status --operator-address "$(flag_of operator-address "$first_daemon")"
