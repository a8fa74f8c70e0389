# Functions that start and stop one deployment on loopback. Sourced by demo/run.sh and by the
# tests that need separate processes. Only processes started here are ever signalled.

OH_BUILD="${OH_BUILD:-build}"
OH_RUN="${OH_RUN:-run}"
OH_SAMPLE="${OH_SAMPLE:-licensing}"
OH_NET="${OH_NET:-10}"            # second number of the entry hosts' addresses 127.N.0.x
OH_PORT="${OH_PORT:-19000}"       # first of the ports of the stand-ins
OH_REBOOT_MS="${OH_REBOOT_MS:-2000}"
OH_PLATFORM="http://127.0.0.1:${OH_PORT}"
OH_WORKERS="http://127.0.0.1:$((OH_PORT + 1))"
if [ "$OH_SAMPLE" = waste ]; then
    OH_ZONES=(suv-a suv-a suv-a suv-b suv-b suv-c suv-c)
else
    OH_ZONES=(bkk-a bkk-a bkk-b bkk-b bkk-c bkk-c bkk-d)
fi
OH_ENTRIES=7

# Starts "$@" with its output in $OH_RUN/NAME.log and its process id in $OH_RUN/NAME.pid.
oh_start() {
    local name="$1"
    shift
    "$@" >>"$OH_RUN/$name.log" 2>&1 &
    echo $! >"$OH_RUN/$name.pid"
}

oh_pid() { cat "$OH_RUN/$1.pid"; }
oh_signal() { kill "-$2" "$(oh_pid "$1")"; }

oh_start_platform() {
    oh_start platform "$OH_BUILD/oleanderhall-platform" --listen "$OH_PLATFORM"
    oh_start workers "$OH_BUILD/oleanderhall-workers" --listen "$OH_WORKERS" \
        --reboot-ms "$OH_REBOOT_MS"
    oh_wait_for "$OH_PLATFORM/hosts"
    oh_wait_for "$OH_WORKERS/executions"
    local i
    for i in $(seq 1 $OH_ENTRIES); do oh_list "entry-$i" live; done
}

oh_list() { curl -sf -X PUT -d "{\"state\":\"$2\"}" "$OH_PLATFORM/admin/$1" >/dev/null; }
oh_fault_platform() { curl -sf -X POST -d "$1" "$OH_PLATFORM/fault" >/dev/null; }
oh_fault_worker() { curl -sf -X POST -d "{\"mode\":\"$2\"}" "$OH_WORKERS/fault/$1" >/dev/null; }

oh_callers() { echo "127.$OH_NET.0.$1:8080"; }
oh_operators() { echo "http://127.$OH_NET.0.$1:8081"; }

oh_start_entry() {
    local i="$1" seeds=() j
    for j in $(seq 1 $OH_ENTRIES); do
        [ "$j" = "$i" ] || seeds+=(--seed "127.$OH_NET.${OH_PEER_NET:-0}.$j:8082")
    done
    local platform="$OH_PLATFORM" workers="$OH_WORKERS"
    if [ "$i" = "${OH_BEHIND_RELAY:-0}" ]; then
        platform="http://127.$OH_NET.2.1:9000"
        workers="http://127.$OH_NET.2.1:9001"
    fi
    oh_start "entry-$i" "$OH_BUILD/oleanderhalld" --id "entry-$i" --zone "${OH_ZONES[$((i - 1))]}" \
        --callers "127.$OH_NET.0.$i:8080" --operators "127.$OH_NET.0.$i:8081" \
        --peers "127.$OH_NET.0.$i:8082" "${seeds[@]}" --table "$platform/" \
        --objects "$platform/objects" --host-list "$platform/hosts" \
        --workers "$workers/workers" --advertise "127.$OH_NET.${OH_PEER_NET:-0}.$i:8082" \
        ${OH_FLAGS:-}
}

# Puts a relay between entry host $1 and the platform, and between all entry hosts: signal USR1 to
# "relay" cuts the entry host off from the platform and its peers, USR2 mends it.
oh_start_relay() {
    local pairs=("127.$OH_NET.2.1:9000=127.0.0.1:$OH_PORT"
        "127.$OH_NET.2.1:9001=127.0.0.1:$((OH_PORT + 1))") i
    for i in $(seq 1 $OH_ENTRIES); do
        pairs+=("127.$OH_NET.1.$i:8082=127.$OH_NET.0.$i:8082")
    done
    oh_start relay "$OH_BUILD/oleanderhall-relay" "${pairs[@]}"
    OH_BEHIND_RELAY="$1"
    OH_PEER_NET=1
}

# Waits until a URL answers with success, at most 20 s.
oh_wait_for() {
    local tries
    for tries in $(seq 1 200); do
        curl -sf -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}

# Waits until a command succeeds, at most $1 seconds.
oh_wait_until() {
    local limit=$(($1 * 5)) tries
    shift
    for tries in $(seq 1 "$limit"); do
        "$@" && return 0
        sleep 0.2
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

oh_cli() { "$OH_BUILD/oleanderhall" --entry "$(oh_operators "${OH_AT:-1}")" "$@"; }
oh_cli_all() {
    local entries=() i
    for i in $(seq 1 $OH_ENTRIES); do entries+=(--entry "$(oh_operators "$i")"); done
    "$OH_BUILD/oleanderhall" "${entries[@]}" "$@"
}
oh_apply() {
    oh_cli apply --register "samples/$OH_SAMPLE/register.json" --rules "samples/$OH_SAMPLE/rules.json"
}

# True when every pool has all its hosts serving and all its instances ready.
oh_settled() {
    local plan
    plan=$(oh_cli plan 2>/dev/null) || return 1
    [ "$plan" = "nothing to do" ] && [ "$(oh_ready_instances || echo 0)" -ge "${OH_INSTANCES:-40}" ]
}
oh_ready_instances() {
    curl -sf "$(oh_operators "${OH_AT:-1}")/metrics" |
        awk '$1 == "oleanderhall_ready_instances" {print $2; found = 1} END {if (!found) print 0}'
}
oh_wave_done() { oh_cli status | grep -E "^$1 .* done " >/dev/null; }
oh_host_serves_in() {
    oh_cli explain host "$1" | head -1 | grep -q "\"pool\":\"$2\".*\"state\":\"serving\""
}

oh_start_all() {
    mkdir -p "$OH_RUN"
    rm -f "$OH_RUN"/*.pid "$OH_RUN"/*.log
    oh_start_platform
    [ -z "${OH_RELAYED:-}" ] || oh_start_relay "$OH_RELAYED"
    local i
    for i in $(seq 1 $OH_ENTRIES); do oh_start_entry "$i"; done
    for i in $(seq 1 $OH_ENTRIES); do oh_wait_for "$(oh_operators "$i")/livez"; done
    oh_apply
    oh_wait_until 60 oh_settled
}

oh_stop_all() {
    local file pid
    for file in "$OH_RUN"/*.pid; do
        [ -e "$file" ] || continue
        pid=$(cat "$file")
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
        rm -f "$file"
    done
    return 0
}
