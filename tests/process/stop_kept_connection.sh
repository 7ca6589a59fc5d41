#!/usr/bin/env bash
# Guards against a request on a connection from before a planned stop that is cut off because the
# daemon, idle a moment before, is about to exit.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

fleet_defaults=${fleet_defaults/'"idempotent":true'/'"idempotent":true,"open":true'}
start_fleet 300
wait_for 10 http -f -X POST "http://${callers[entry-a-1]}/v1/services/quote/requests" -d ready ||
    fail "the open queue takes no request"
http -f -X POST "http://${executors[quote-a]}/fault" -d '{"delay_ms":1500}' >/dev/null
exec 3<>"/dev/tcp/127.0.0.1/${callers[entry-a-1]##*:}"
printf 'GET /healthz/live HTTP/1.1\r\nhost: test\r\n\r\n' >&3
read -r -t 10 line <&3
[[ $line == *" 200 "* ]] || fail "no answer before the stop: $line"
kill -TERM "${pids[entry-a-1]}"
refused() { ! (exec 4<>"/dev/tcp/127.0.0.1/${callers[entry-a-1]##*:}"); }
wait_for 10 refused || fail "the daemon goes on listening"
sleep 0.15
printf 'POST /v1/services/quote/requests HTTP/1.1\r\nhost: test\r\nrequest-id: kept\r\ncontent-length: 0\r\n\r\n' >&3
answer=$(timeout 10 cat <&3) || true
exec 3>&-
[[ $answer == *run-state:* || $answer == *Run-State:* ]] || fail "the request got no answer: $answer"
wait "${pids[entry-a-1]}" || fail "the daemon did not stop cleanly"
unset 'pids[entry-a-1]'
