# Functions to start and stop a fleet of stand-ins and daemons; other scripts source this file.
#
# Call `prepare_fleet` first, then `primrosewalk-standins fleet --dir "$dir"`. Logs are written
# to $dir/logs, process ids to $dir/pids.

daemon_names=()
standin_names=()

# Builds the binaries unless BIN names a directory that has them, creates a directory for the
# fleet's files, and makes the script stop the fleet when it exits. Sets `bin` and `dir`.
prepare_fleet() {
    bin=${BIN:-target/release}
    if [ -z "${BIN:-}" ]; then
        cargo build --release --bins --locked
    fi
    dir=$(mktemp -d)
    trap finish_fleet EXIT
    trap 'exit 130' INT TERM
}

# Stops the fleet and exits with the script's status, or with 1 if the fleet did not stop
# cleanly. Removes the fleet's directory on success and keeps it, with the logs, on failure.
finish_fleet() {
    local code=$?
    trap - EXIT
    stop_fleet || code=1
    check_all_ended || code=1
    if [ "$code" -eq 0 ]; then
        rm -rf "$dir"
        echo "all processes have ended" >&2
    else
        echo "failed; logs are in $dir/logs" >&2
    fi
    exit "$code"
}

# start_process NAME COMMAND...: starts a process in the background and stores its id.
start_process() {
    local name=$1
    shift
    mkdir -p "$dir/logs" "$dir/pids"
    "$@" >"$dir/logs/$name.out" 2>"$dir/logs/$name.log" </dev/null &
    echo $! >"$dir/pids/$name.pid"
}

# is_running PID: succeeds if this child of the shell is still running. It looks the id up in
# the shell's job table rather than asking the kernel, because the kernel may have given the id
# of an ended child to another process.
is_running() {
    jobs -pr | grep -qx "$1"
}

# http_status ADDRESS PATH: prints the status code of a GET, or nothing when the connection
# fails.
http_status() {
    local address=$1 path=$2 line=''
    {
        exec 9<>"/dev/tcp/${address%:*}/${address##*:}" || return 0
        printf 'GET %s HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n' "$path" >&9
        IFS=' ' read -r -t 2 _ line _ <&9 || true
        exec 9>&-
    } 2>/dev/null
    echo "$line"
}

# wait_for NAME ADDRESS PATH SECONDS: waits until a GET is answered with 200. Fails when the
# process has ended or the timeout has passed.
wait_for() {
    local name=$1 address=$2 path=$3 end=$((SECONDS + $4)) pid
    pid=$(cat "$dir/pids/$name.pid")
    until [ "$(http_status "$address" "$path")" = 200 ]; do
        if ! is_running "$pid"; then
            echo "$name ended before it was ready; its log:" >&2
            tail -n 5 "$dir/logs/$name.log" >&2
            return 1
        fi
        if [ "$SECONDS" -ge "$end" ]; then
            echo "$name is not ready after $4 s; its log:" >&2
            tail -n 5 "$dir/logs/$name.log" >&2
            return 1
        fi
        sleep 0.1
    done
}

# flag_of FLAG LINE: prints the value of a flag in a line of $dir/daemons.txt.
flag_of() {
    sed -n "s/.*--$1 \([^ ]*\).*/\1/p" <<<"$2"
}

# start_standins FLAGS...: starts the platform and the endpoints and waits until they are
# ready. The flags are passed to the endpoints.
start_standins() {
    local platform
    platform=$(flag_of platform-address "$(head -n 1 "$dir/daemons.txt")")
    start_process platform "$bin/primrosewalk-standins" platform --listen "$platform" --dir "$dir"
    standin_names+=(platform)
    start_process endpoints "$bin/primrosewalk-standins" endpoints \
        --file "$dir/manifest.json" "$@"
    standin_names+=(endpoints)
    wait_for platform "$platform" /control/counts 10
    local address
    for address in $(sed -n 's/.*"address": "\(.*\)".*/\1/p' "$dir/manifest.json"); do
        wait_for endpoints "$address" /control/state 10
    done
}

# start_daemons FLAGS...: starts all daemons of $dir/daemons.txt and waits until they are ready.
# The flags are passed to every daemon.
start_daemons() {
    local flags name
    while IFS= read -r flags; do
        name=$(flag_of vm "$flags")
        # No value of a flag contains a space, so the line can be split at spaces.
        # shellcheck disable=SC2086
        start_process "$name" "$bin/primrosewalkd" $flags "$@"
        daemon_names+=("$name")
    done <"$dir/daemons.txt"
    while IFS= read -r flags; do
        wait_for "$(flag_of vm "$flags")" "$(flag_of operator-address "$flags")" /readyz 30
    done <"$dir/daemons.txt"
}

# stop_processes NAME...: sends SIGTERM to each process by its id and waits for it to end. Fails
# when a process has to be killed after the timeout.
stop_processes() {
    local name pid end=$((SECONDS + 30)) failed=0
    for name in "$@"; do
        pid=$(cat "$dir/pids/$name.pid")
        if is_running "$pid"; then
            kill -TERM "$pid" || true
        fi
    done
    for name in "$@"; do
        pid=$(cat "$dir/pids/$name.pid")
        while is_running "$pid" && [ "$SECONDS" -lt "$end" ]; do
            sleep 0.05
        done
        if is_running "$pid"; then
            echo "$name (process $pid) did not end on SIGTERM; killing it" >&2
            kill -KILL "$pid" 2>/dev/null || true
            failed=1
        fi
        wait "$pid" 2>/dev/null || true
    done
    return "$failed"
}

# Stops the daemons before the stand-ins, so that requests in progress can complete. May be
# called more than once.
stop_fleet() {
    local failed=0
    stop_processes "${daemon_names[@]}" || failed=1
    stop_processes "${standin_names[@]}" || failed=1
    daemon_names=()
    standin_names=()
    return "$failed"
}

# Fails when a process of the fleet is still running.
check_all_ended() {
    local file failed=0
    for file in "$dir"/pids/*.pid; do
        if is_running "$(cat "$file")"; then
            echo "still running: $(basename "$file" .pid)" >&2
            failed=1
        fi
    done
    return "$failed"
}
