#!/usr/bin/env bash
# Demo: starts stand-ins for the platform and for the backend servers of two services in three zones, and a node for
# each backend server; publishes declarations, sends requests of several ranks, prints a table of their outcomes, and
# stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2

work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

step() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND...: runs a program in the background; its output goes to NAME.out and NAME.err.
start() {
  local name="$1"
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
}

# wait_for FILE PATTERN: waits until a line of the file matches the pattern; exits with an error after ten seconds.
wait_for() {
  for _ in $(seq 200); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "demo: '$2' did not appear in $1" >&2
  cat "$1" >&2
  exit 1
}

# printed FILE KEY: prints the value of KEY=VALUE in the output of a stand-in.
printed() { sed -n "s/.*$2=\([^ ]*\).*/\1/p" "$1" | head -1; }

# listening NAME LISTENER: prints the address of a listener of node NAME, once the node has logged it.
listening() {
  wait_for "$work/$1.out" "event=listening listener=$2 "
  sed -n "s/.*event=listening listener=$2 address=\([^ ]*\).*/\1/p" "$work/$1.out" | head -1
}

step "start the platform's stand-in"
start platform build/tests/platformstandin
wait_for "$work/platform.out" address=
platform=$(printed "$work/platform.out" address)
echo "object API on $platform"

step "publish the declarations of examples/tuul"
build/fescuepond publish --platform="$platform" examples/tuul

# start_node NAME SERVICE ZONE DOWNSTREAM: starts a backend stand-in and its node, on ports that the operating
# system assigns.
declare -A front operator
start_node() {
  local name="$1" service="$2" zone="$3" downstream="$4"
  start "$name-backend" build/tests/backendstandin --name="$name" --downstream="$downstream" --service_ms=3 --journal="$work/$name.journal"
  wait_for "$work/$name-backend.out" address=
  cat >"$work/$name.yaml" <<YAML
name: $name
service: $service
zone: $zone
region: ulaanbaatar
front_address: 127.0.0.1:0
local_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
backend_address: $(printed "$work/$name-backend.out" address)
platform_address: $platform
YAML
  start "$name" build/fescuepond node --settings="$work/$name.yaml"
  front[$name]=$(listening "$name" front)
  operator[$name]=$(listening "$name" operator)
  curl -s -o /dev/null -X POST "http://$(printed "$work/$name-backend.out" control)/set?local=$(listening "$name" local)"
}

step "start two services in three zones: dispatch calls yard"
for zone in a b c; do
  start_node "yard-$zone" yard "zone-$zone" ""
  start_node "dispatch-$zone" dispatch "zone-$zone" "GET yard /stock/sleepers"
done
for name in "${!front[@]}"; do
  wait_for "$work/$name.out" event=configuration_in_force
done
sleep 2.5
curl -s "http://${operator[dispatch-a]}/status" | grep '"name"' | sort | uniq -c

step "send requests"
printf '%-44s %-8s %-16s %s\n' request status outcome answer
# request METHOD PATH HOST [CURL ARGUMENTS]: sends one request and prints its status, outcome and response.
request() {
  local method="$1" path="$2" host="$3"
  shift 3
  local status outcome
  status=$(curl -s -o "$work/body" -D "$work/headers" -w '%{http_code}' -X "$method" -H "Host: $host" "$@" \
    "http://${front[dispatch-a]}$path")
  outcome=$(tr -d '\r' <"$work/headers" | sed -n 's/^X-Fescuepond-Outcome: //Ip')
  printf '%-44s %-8s %-16s %s\n' "$method $host$path" "$status" "$outcome" "$(head -c 100 "$work/body" | tr '\n' ' ')"
}
request GET /slots/monday dispatch
request GET /reports/week dispatch
request GET /stock/ballast yard
request POST /bookings dispatch -H 'Idempotency-Key: demo-1' -d 'truck=7'
request POST /bookings dispatch -H 'Idempotency-Key: demo-1' -d 'truck=7'
request POST /bookings dispatch -H 'Idempotency-Key: demo-1' -d 'truck=8'
request GET /slots/monday nosuch
request DELETE /slots/monday dispatch
request GET /slots/forged dispatch -H 'X-Fescuepond-Call: 00000000000000010000000000000001'

bookings=$(cat "$work"/dispatch-?.journal | grep -c '^begin .* POST /bookings' || true)
echo "the booking that was sent twice with one key ran $bookings time(s)"

step "metrics of dispatch-a"
curl -s "http://${operator[dispatch-a]}/metrics" | grep -E 'call_seconds_count|platform_calls'

step "stop one node with a planned stop"
curl -s -X POST "http://${operator[yard-c]}/drain"
wait_for "$work/yard-c.out" event=node_stopped
grep -E 'event=(drain_started|node_stopped)' "$work/yard-c.out"
echo "demo: done"
