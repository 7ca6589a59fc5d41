# Starts and stops a small fleet on loopback. Sourced by scripts/demo and by the process tests.
# Needs `bin`, the directory of the programs, and `charts`, the directory of the state charts.

work=$(mktemp -d)
declare -A pids=()      # process id of each program by name
declare -A callers=()   # caller endpoint of each daemon
declare -A operators=() # operator endpoint of each daemon
declare -A executors=() # endpoint of each executor and worker
vm_rows=()              # rows of the VM list
fleet_secret="loopback-fleet-secret"
secrets=("$fleet_secret") # keys and secrets, which no log may show

fail() {
    echo "${0##*/}: $*" >&2
    exit 1
}

# Ends every program that this script started, also one that is stopped, and removes its files.
end_fleet() {
    local status=$?
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    for name in "${secrets[@]}"; do
        if grep -lF -- "$name" "$work"/*.log 2>/dev/null; then
            echo "${0##*/}: a key or secret is in these logs" >&2
            status=1
        fi
    done
    if [ "$status" -ne 0 ] && [ -n "${KEEP_LOGS:-}" ]; then
        echo "logs: $work" >&2
    else
        rm -rf "$work"
    fi
    exit "$status"
}
trap end_fleet EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Sets REPLY to a port below the ephemeral range that nothing listens on and no earlier call returned.
taken_ports=" "
free_port() {
    local tries
    for tries in {1..200}; do
        REPLY=$((15000 + (RANDOM * 32768 + RANDOM) % 17000))
        [[ $taken_ports != *" $REPLY "* ]] || continue
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$REPLY") 2>/dev/null; then
            taken_ports+="$REPLY "
            return
        fi
    done
    fail "found no free port"
}

# start NAME PROGRAM ARGUMENT...
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids[$name]=$!
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || return 1
        sleep 0.05
    done
}

http() {
    curl -sS -m 10 "$@"
}

answers() {
    http -f "http://$1"
}

start_platform() {
    free_port
    platform=127.0.0.1:$REPLY
    start platform "$bin/standin_platform" --listen "$platform"
    wait_for 10 answers "$platform/stats" || fail "the platform does not answer"
}

# start_executor NAME ZONE POOL [OPTION...]
start_executor() {
    local name=$1 zone=$2 pool=$3
    shift 3
    free_port
    executors[$name]=127.0.0.1:$REPLY
    start "$name" "$bin/standin_executor" --listen "127.0.0.1:$REPLY" "$@"
    wait_for 10 answers "127.0.0.1:$REPLY/healthz" || fail "$name does not answer"
    add_vm "$name" "$zone" "$pool" "$REPLY"
}

# start_worker NAME ZONE [OPTION...]
start_worker() {
    local name=$1 zone=$2
    shift 2
    free_port
    executors[$name]=127.0.0.1:$REPLY
    start "$name" "$bin/standin_worker" --listen "127.0.0.1:$REPLY" "$@"
    wait_for 10 answers "127.0.0.1:$REPLY/stats" || fail "$name does not answer"
    add_vm "$name" "$zone" tasks "$REPLY"
}

# add_vm NAME ZONE POOL PORT
add_vm() {
    vm_rows+=("{\"id\":\"$1\",\"zone\":\"$2\",\"rack\":\"rack-$2\",\"pool\":\"$3\",\"address\":\"127.0.0.1\",\"port\":$4}")
}

publish_vms() {
    local IFS=,
    http -f -X PUT "http://$platform/vms" -d "{\"vms\":[${vm_rows[*]}]}" >/dev/null
}

# write_settings NAME ZONE DRAIN_DELAY_MS
write_settings() {
    cat >"$work/$1.ini" <<SETTINGS
[node]
id=$1
zone=$2
charts=$charts
[listen]
callers=${callers[$1]}
operators=${operators[$1]}
peers=${peer_endpoints[$1]}
[platform]
address=$platform
configuration_poll_ms=200
vm_list_poll_ms=200
[peers]
secret=$fleet_secret
node_lease_ms=${node_lease_ms:-10000}
[stop]
drain_delay_ms=$3
SETTINGS
}

# start_daemon NAME ZONE [DRAIN_DELAY_MS]
declare -A peer_endpoints=()
start_daemon() {
    free_port
    callers[$1]=127.0.0.1:$REPLY
    free_port
    operators[$1]=127.0.0.1:$REPLY
    free_port
    peer_endpoints[$1]=127.0.0.1:$REPLY
    write_settings "$1" "$2" "${3:-1000}"
    start "$1" "$bin/citronfordd" --settings "$work/$1.ini"
}

wait_ready() {
    local name
    for name in "$@"; do
        wait_for 15 answers "${callers[$name]}/healthz/ready" || fail "$name is not ready"
    done
}

# The defaults of the small fleet: one idempotent and one non-idempotent service, three teams.
fleet_defaults='{"services":[
  {"name":"quote","pool":"quotes","idempotent":true},
  {"name":"booking","pool":"bookings"}],
 "teams":[{"name":"sales","limit":64},{"name":"works","limit":64},{"name":"accounts","limit":64}],
 "pools":[{"name":"quotes","wanted":2},{"name":"bookings","wanted":2},
  {"name":"tasks","wanted":2,"workers":true}],
 "request_timeout_ms":5000}'

# set_defaults DAEMON: retries, since another change may have been committed first.
set_defaults() {
    wait_for 10 http -f -X PUT "http://${operators[$1]}/v1/defaults" -d "$fleet_defaults" ||
        fail "the defaults were not accepted"
}

# give_key DAEMON TEAM: sets key_id and key. Retries until the daemon knows the team.
give_key() {
    wait_for 10 http -f -o "$work/key.json" -X POST "http://${operators[$1]}/v1/keys" \
        -d "{\"team\":\"$2\"}" || fail "no key for the team $2"
    local document
    document=$(<"$work/key.json")
    [[ $document =~ \"id\":\"([^\"]*)\" ]] || fail "no key id in $document"
    key_id=${BASH_REMATCH[1]}
    [[ $document =~ \"key\":\"([^\"]*)\" ]] || fail "no key in the answer"
    key=${BASH_REMATCH[1]}
    secrets+=("$key")
}

# wait_key DAEMON KEY: until the daemon accepts the key.
wait_key() {
    wait_for 10 http -f -X POST "http://${callers[$1]}/v1/services/quote/requests" \
        -H "Authorization: Bearer $2" -H "Request-Id: ready-$1-$RANDOM$RANDOM" -d ready ||
        fail "$1 does not accept the key"
}

# save_stats: one file for each executor, of what it ran.
save_stats() {
    local name
    for name in "${!executors[@]}"; do
        http -f "http://${executors[$name]}/stats" >"$work/$name.stats" || fail "no statistics of $name"
    done
}

# verdict OPTION...: compares the records of callers and executors. Records are read in the order of
# their names, which must be the order of the runs.
verdict() {
    local arguments=() file
    for file in "$work"/*.record; do
        arguments+=(--record "$file")
    done
    for file in "$work"/*.stats; do
        arguments+=(--stats "$file")
    done
    "$bin/demo_verdict" "${arguments[@]}" "$@"
}

# start_fleet [DRAIN_DELAY_MS]: two zones with an executor of each service, two daemons in each.
start_fleet() {
    local zone
    start_platform
    for zone in a b; do
        start_executor "quote-$zone" "$zone" quotes
        start_executor "booking-$zone" "$zone" bookings
    done
    publish_vms
    for zone in a b; do
        start_daemon "entry-$zone-1" "$zone" "$@"
        start_daemon "entry-$zone-2" "$zone" "$@"
    done
    wait_ready "${!callers[@]}"
    set_defaults entry-a-1
}

# entry_options NAME...: the --entry options of the load tool for these daemons.
entry_options() {
    local name
    for name in "$@"; do
        printf -- '--entry %s ' "${callers[$name]}"
    done
}

# stop_under_load PREFIX COMMAND...: stops the daemon entry-a-1 while all load goes to it alone, so that
# no load balancer hides a request that it accepted and did not answer. Runs the command 0.2 s after the
# signal, while the daemon still accepts, and compares the records at the end.
stop_under_load() {
    local prefix=$1
    shift
    start_fleet 500
    give_key entry-a-1 sales
    wait_key entry-a-1 "$key"
    # shellcheck disable=SC2046
    start load "$bin/citronford_load" $(entry_options entry-a-1) --idempotent quote \
        --non-idempotent booking --key "$key" --rate 300 --count 600 --prefix "$prefix" --probe-ms 0 \
        --record "$work/$prefix.record"
    sleep 0.7
    kill -TERM "${pids[entry-a-1]}"
    sleep 0.2
    "$@"
    wait "${pids[entry-a-1]}" || fail "the daemon did not stop cleanly"
    unset 'pids[entry-a-1]'
    wait "${pids[load]}" || true
    unset 'pids[load]'
    cat "$work/load.out"
    grep -q 'run_state=unsent' "$work/load.out" || fail "the daemon did not stop under load"
    save_stats
    verdict --least 200 --least-run 200
}
