# A small fleet for tasks: two workers in zone a, which has one daemon; another daemon in zone b.
# Sourced after fleet_functions.sh by process tests.

# start_task_fleet DRAIN_DELAY_MS [TEAM_LIMIT]: sets `key` to a key of the team sales.
start_task_fleet() {
    start_platform
    start_worker worker-1 a --processors 6
    start_worker worker-2 a --processors 6
    publish_vms
    start_daemon entry-a-1 a "$1"
    start_daemon entry-b-1 b "$1"
    wait_ready entry-a-1 entry-b-1
    fleet_defaults=${fleet_defaults/'"sales","limit":64'/"\"sales\",\"limit\":${2:-64}"}
    set_defaults entry-a-1
    give_key entry-a-1 sales
}

# submit_job ID DAEMON OPTION...
submit_job() {
    local id=$1 name=$2
    shift 2
    CITRONFORD_KEY=$key wait_for 15 "$bin/citronford" job submit "$id" --entry "${callers[$name]}" \
        --memory-mb 64 "$@" || fail "$id was not accepted"
}

# job_in_state ID DAEMON STATE: writes the document of the job to $work/job.json.
job_in_state() {
    CITRONFORD_KEY=$key "$bin/citronford" job show "$1" --json --entry "${callers[$2]}" \
        >"$work/job.json" 2>/dev/null || return 1
    [[ $(<"$work/job.json") == *"\"state\":\"$3\""* ]]
}

# stat_of WORKER NAME: a number of its statistics; 0 when absent.
stat_of() {
    local document
    document=$(http "http://${executors[$1]}/stats")
    if [[ $document =~ \"$2\":([0-9]+) ]]; then
        echo "${BASH_REMATCH[1]}"
    else
        echo 0
    fi
}

# Over both workers.
sum_stat() {
    echo $(($(stat_of worker-1 "$1") + $(stat_of worker-2 "$1")))
}

starts_of() {
    sum_stat "$1"
}

# How many different jobs have started.
started() {
    local name documents=""
    for name in worker-1 worker-2; do
        documents+=$(http "http://${executors[$name]}/stats")
    done
    grep -o '"starts":{[^}]*}' <<<"$documents" | grep -o ':[0-9]' | wc -l
}

tasks_started() {
    [ "$(started)" -ge "$1" ]
}
