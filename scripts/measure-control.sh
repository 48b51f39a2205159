#!/usr/bin/env bash
# Measures the cost of the control part per VM of a fleet, for docs/CAPACITY.md. There is no
# request traffic unless RATE is set.
#
#     scripts/measure-control.sh VMS ORGANISATIONS ENDPOINTS_PER_SERVICE [SECONDS] [CHANGES]
#
# CHANGES new manifests are published during the measurement. The script prints one line with
# means over the VMs: processor time of the control thread and of the whole process, bytes and
# messages (sent plus received; bytes without TCP/IP headers and without the HTTP headers of
# platform and load reads), and memory.
#
# With RATE set, org-0 also sends RATE streamed requests per second to the pipeline `answer`,
# whose engine answers with TOKENS tokens (default 20). With OPEN=1 as well, the requests have
# no API key and go to `catalogue` instead; any VM serves them and asks the VM that owns org-0's
# quota for it. The processor time of the process then includes the traffic, and a second line
# describes the requests. Keep SECONDS at 8 or more for this.
#
# If BIN names a directory with built binaries, those are used; otherwise they are built first.
set -euo pipefail
cd "$(dirname "$0")/.."
vms=${1:?VMS} organisations=${2:?ORGANISATIONS} endpoints=${3:?ENDPOINTS_PER_SERVICE}
seconds=${4:-10} changes=${5:-0}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
prepare_fleet

"$bin/primrosewalk-standins" fleet --dir "$dir" --vms "$vms" --data-centres 3 \
    --organisations "$organisations" --engines "$endpoints" \
    --endpoints-per-service "$endpoints" --rate 2000 --burst 1000 --slots 64
start_standins --tokens "${TOKENS:-20}" --token-ms 5
start_daemons --traffic-threads 1

# metrics_of ADDRESS: prints the metrics served at an operator address.
metrics_of() {
    exec 9<>"/dev/tcp/${1%:*}/${1##*:}"
    printf 'GET /metrics HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n' >&9
    cat <&9
    exec 9>&-
}

# snapshot FILE: writes the metrics of all VMs and the processor time of their processes, in
# clock ticks, to a file.
snapshot() {
    local flags name ticks
    while IFS= read -r flags; do
        name=$(flag_of vm "$flags")
        metrics_of "$(flag_of operator-address "$flags")"
        ticks=$(awk '{ print $14 + $15 }' "/proc/$(cat "$dir/pids/$name.pid")/stat")
        printf '\nprocess_ticks %s\n' "$ticks"
    done <"$dir/daemons.txt" >"$1"
}

# increase METRIC [LABEL]: prints by how much a metric, summed over all VMs and over the samples
# that have the label, increased between the two snapshots.
increase() {
    awk -v name="$1" -v label="${2:-}" '
        FNR == 1 { file++ }
        $1 ~ "^" name "([{]|$)" && index($1, label) { sum[file] += $2 }
        END { printf "%.0f", sum[2] - sum[1] }' "$dir/before" "$dir/after"
}

# publish_change VERSION: publishes a manifest with a new version and a new burst limit.
publish_change() {
    local version=$1
    sed "s/\"version\": [0-9]*/\"version\": $version/; s/\"burst\": [0-9]*/\"burst\": $((20 + version))/" \
        "$dir/manifest.json" >"$dir/next"
    mv "$dir/next" "$dir/manifest.json"
}

# Starts the requests. They are sent from 6 s before the measurement, so that as many end as
# begin during it, until 1 s after it.
start_load() {
    local pipeline=answer key='key = "key-org-0-1"'
    if [ -n "${OPEN:-}" ]; then
        pipeline=catalogue key=''
    fi
    cat >"$dir/load.toml" <<TOML
name = "capacity"
duration_s = $((seconds + 7))
max_requests = 200000
[[organisation]]
name = "org-0"
$key
rate_per_second = $RATE.0
deadline_ms = 3000
callers = 32
pipelines = { $pipeline = 1 }
TOML
    start_process load "$bin/primrosewalk" load --scenario "$dir/load.toml" --fleet-dir "$dir" \
        --json "$dir/load.json"
    standin_names+=(load)
}

sleep 4
if [ -n "${RATE:-}" ]; then
    start_load
    sleep 6
fi
snapshot "$dir/before"
for change in $(seq 1 "$changes"); do
    publish_change $((change + 1))
    sleep "$(awk "BEGIN { print $seconds / $changes }")"
done
[ "$changes" -gt 0 ] || sleep "$seconds"
snapshot "$dir/after"
memory=0
peak=0
for name in "${daemon_names[@]}"; do
    status=/proc/$(cat "$dir/pids/$name.pid")/status
    memory=$((memory + $(awk '/^VmRSS/ { print $2 }' "$status")))
    peak=$((peak + $(awk '/^VmHWM/ { print $2 }' "$status")))
done
control=primrosewalk_control
awk -v vms="$vms" -v organisations="$organisations" -v endpoints="$endpoints" \
    -v seconds="$seconds" -v changes="$changes" \
    -v cpu="$(increase ${control}_cpu_microseconds_total)" \
    -v ticks="$(increase process_ticks)" -v hertz="$(getconf CLK_TCK)" \
    -v state="$(increase ${control}_bytes_total 'kind="state"')" \
    -v call="$(increase ${control}_bytes_total 'kind="call"')" \
    -v platform="$(increase ${control}_bytes_total 'kind="platform"')" \
    -v load="$(increase ${control}_bytes_total 'kind="load"')" \
    -v messages="$(increase ${control}_messages_total 'kind="state"')" \
    -v load_messages="$(increase ${control}_messages_total 'kind="load"')" \
    -v reads="$(increase ${control}_platform_reads_total)" \
    -v memory="$memory" -v peak="$peak" 'BEGIN {
    vm_seconds = vms * seconds
    printf "vms=%d organisations=%d endpoints=%d changes=%d seconds=%d:", \
        vms, organisations, endpoints * 5, changes, seconds
    printf " control %.3f %% of a core (process %.2f), %.2f KB/s", \
        cpu / vm_seconds / 10000, ticks / hertz / vm_seconds * 100, \
        (state + call + platform + load) / vm_seconds / 1000
    printf " (state %.2f, call %.2f, platform %.2f, load %.2f),", \
        state / vm_seconds / 1000, call / vm_seconds / 1000, \
        platform / vm_seconds / 1000, load / vm_seconds / 1000
    printf " %.1f state and %.1f load messages/s, %.2f reads/s,", \
        messages / vm_seconds, load_messages / vm_seconds, reads / vm_seconds
    printf " memory %.1f MB (peak %.1f) a VM\n", memory / vms / 1000, peak / vms / 1000 }'
if [ -n "${RATE:-}" ]; then
    awk -v answered="$(
        increase primrosewalk_request_seconds_count 'outcome="answered"'
    )" -v all="$(increase primrosewalk_request_seconds_count)" -v rate="$RATE" \
        -v tokens="${TOKENS:-20}" -v seconds="$seconds" \
        -v ticks="$(increase process_ticks)" -v hertz="$(getconf CLK_TCK)" 'BEGIN {
        printf "rate=%d tokens=%d: %.1f requests/s, %.1f answered/s, %.3f ms of processor time a request\n", \
            rate, tokens, all / seconds, answered / seconds, all ? ticks / hertz / all * 1000 : 0 }'
fi
