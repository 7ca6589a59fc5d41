#!/usr/bin/env bash
# Guards against inputs that end a daemon or get an answer without a number: each wrong input has one
# clear numbered error, and the daemon goes on serving.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_fleet
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
caller=http://${callers[entry-a-1]}
operator=http://${operators[entry-a-1]}

# expect CODE OPTION...: the response must carry the result code in its header and in its body.
expect() {
    local code=$1
    shift
    http -D "$work/head" -o "$work/body" "$@" || fail "no response: $*"
    tr -d '\r' <"$work/head" | grep -qix "result-code: $code" ||
        fail "expected code $code in the header: $* gave $(cat "$work/head" "$work/body")"
    grep -q "\"code\":$code,\"message\":\"[^\"]" "$work/body" ||
        fail "expected code $code with a message: $* gave $(cat "$work/body")"
    answers "${callers[entry-a-1]}/healthz/ready" >/dev/null || fail "the daemon does not serve after: $*"
}

expect 100 "$caller/v1/nothing"
expect 100 "$operator/v1/nothing"
expect 101 "$caller/v1/services/quote/requests"
expect 101 -X DELETE "$operator/v1/defaults"
head -c 2000000 /dev/zero >"$work/large"
expect 102 -H 'Expect:' --data-binary "@$work/large" "$caller/v1/services/quote/requests"
head -c 9000000 /dev/zero >"$work/larger"
expect 102 -H 'Expect:' --data-binary "@$work/larger" "$caller/v1/services/quote/requests"
exec 3<>"/dev/tcp/${callers[entry-a-1]/://}"
printf 'POST /v1/nothing HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n' >&3
timeout 5 cat <&3 >"$work/body" || true
exec 3>&-
grep -aq '"code":105,"message":"the request is not valid HTTP/1.1"' "$work/body" ||
    fail "no numbered error for a malformed length: $(cat "$work/body")"
expect 103 -X PUT -d '{"services":[' "$operator/v1/defaults"
expect 103 -X PUT -d '{"surplus":1}' "$operator/v1/defaults"
expect 103 -X POST -d 'none' "$operator/v1/exceptions"
expect 104 -X POST -H "Authorization: Bearer $key" -d x "$caller/v1/services/booking/requests"
expect 105 -X POST -H 'Request-Timeout-Ms: soon' -d x "$caller/v1/services/quote/requests"
expect 105 -X POST -d '{"id":"e1","scope":"zone/a","setting":"s","value":"1"}' "$operator/v1/exceptions"
expect 106 -X POST -d x "$caller/v1/services/nothing/requests"
expect 107 -X DELETE "$operator/v1/keys/nothing"
expect 200 -X POST -d x "$caller/v1/services/quote/requests"
expect 201 -X POST -H 'Authorization: Bearer wrong' -d x "$caller/v1/services/quote/requests"

# Strangers at the port of peers are rejected, and their number does not fill the log.
for _ in {1..30}; do
    exec 3<>"/dev/tcp/${peer_endpoints[entry-a-1]/://}"
    printf '%032d\377\377\377\377' 0 >&3
    timeout 5 cat <&3 >/dev/null || true
    exec 3>&-
done
rejections=$(grep -c 'event=peer_rejected code=' "$work/entry-a-1.log")
[[ $rejections -ge 1 && $rejections -le 5 ]] || fail "30 rejected peers gave $rejections lines"

# refuse_start CODE TEXT: the daemon must not start with the present settings file.
refuse_start() {
    local status=0
    timeout 10 "$bin/citronfordd" --settings "$work/bad.ini" >"$work/refused" 2>&1 || status=$?
    [ "$status" -ne 0 ] && [ "$status" -ne 124 ] || fail "started with: $2"
    grep -q "code=$1" "$work/refused" || fail "expected code $1: $(cat "$work/refused")"
    grep -q -- "$2" "$work/refused" || fail "expected '$2': $(cat "$work/refused")"
}
sed 's/^drain_delay_ms=.*/drain_delay_ms=-1/; s/^zone=.*/zones=a/' "$work/entry-a-1.ini" >"$work/bad.ini"
refuse_start 500 'drain_delay_ms = -1'
refuse_start 500 'zones: unknown setting'
refuse_start 500 'zone: missing'
cp -r "$charts" "$work/charts"
sed -i 's/event="tick"/event="tock"/' "$work/charts/drain.scxml"
sed "s|^charts=.*|charts=$work/charts|" "$work/entry-a-1.ini" >"$work/bad.ini"
refuse_start 501 'drain.scxml:[0-9]*: unknown event'
sed "s/^operators=.*/operators=${operators[entry-a-2]}/" "$work/entry-a-1.ini" >"$work/bad.ini"
refuse_start 502 'cannot listen'
echo "bad_input: all inputs were refused by number"
