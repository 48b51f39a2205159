#!/usr/bin/env bash
# Measures what control costs one VM of a fleet without traffic, for docs/CAPACITY.md.
#
#     scripts/measure-control.sh VMS ORGANISATIONS ENDPOINTS_PER_SERVICE [SECONDS] [CHANGES]
#
# CHANGES new manifests are published during the measurement. One line is printed: the mean
# over the VMs of processor time of the control thread, bytes sent and received, and memory.
# BIN names a directory with built binaries; without it they are built first.
set -euo pipefail
cd "$(dirname "$0")/.."
vms=${1:?VMS} organisations=${2:?ORGANISATIONS} endpoints=${3:?ENDPOINTS_PER_SERVICE}
seconds=${4:-10} changes=${5:-0}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
prepare_fleet

"$bin/primrosewalk-standins" fleet --dir "$dir" --vms "$vms" --data-centres 3 \
    --organisations "$organisations" --engines "$endpoints" --endpoints-per-service "$endpoints"
start_standins
start_daemons --traffic-threads 1

# Prints the metrics page of an operator address.
metrics_of() {
    exec 9<>"/dev/tcp/${1%:*}/${1##*:}"
    printf 'GET /metrics HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n' >&9
    cat <&9
    exec 9>&-
}

# Adds up the samples of a metric over all VMs.
total() {
    local flags
    while IFS= read -r flags; do
        metrics_of "$(flag_of operator-address "$flags")"
    done <"$dir/daemons.txt" |
        awk -v name="$1" -v label="${2:-}" \
            '$1 ~ "^" name "([{]|$)" && index($1, label) { sum += $2 } END { printf "%.0f", sum }'
}

publish_change() {
    local version=$1
    sed "s/\"version\": [0-9]*/\"version\": $version/; s/\"burst\": [0-9]*/\"burst\": $((20 + version))/" \
        "$dir/manifest.json" >"$dir/next"
    mv "$dir/next" "$dir/manifest.json"
}

sleep 4
cpu=$(total primrosewalk_control_cpu_microseconds_total)
bytes=$(total primrosewalk_control_bytes_total)
state=$(total primrosewalk_control_bytes_total 'kind="state"')
reads=$(total primrosewalk_control_platform_reads_total)
for change in $(seq 1 "$changes"); do
    publish_change $((change + 1))
    sleep "$(awk "BEGIN { print $seconds / $changes }")"
done
[ "$changes" -gt 0 ] || sleep "$seconds"
cpu=$(($(total primrosewalk_control_cpu_microseconds_total) - cpu))
bytes=$(($(total primrosewalk_control_bytes_total) - bytes))
state=$(($(total primrosewalk_control_bytes_total 'kind="state"') - state))
reads=$(($(total primrosewalk_control_platform_reads_total) - reads))
memory=0
for name in "${daemon_names[@]}"; do
    kilobytes=$(awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$dir/pids/$name.pid")/status")
    memory=$((memory + kilobytes))
done
awk -v vms="$vms" -v organisations="$organisations" -v endpoints="$endpoints" \
    -v seconds="$seconds" -v changes="$changes" -v cpu="$cpu" -v bytes="$bytes" \
    -v state="$state" -v reads="$reads" -v memory="$memory" 'BEGIN {
    printf "vms=%d organisations=%d endpoints=%d changes=%d seconds=%d:", \
        vms, organisations, endpoints * 5, changes, seconds
    printf " core %.3f %%, %.2f KB/s (state %.2f), %.2f reads/s, memory %.1f MB a VM\n", \
        cpu / vms / seconds / 10000, bytes / vms / seconds / 1000, \
        state / vms / seconds / 1000, reads / vms / seconds, memory / vms / 1000 }'
