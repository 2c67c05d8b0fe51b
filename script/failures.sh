#!/usr/bin/env bash
# Injects failures into real processes on loopback and checks the results: sides and
# entries are killed, or paused and resumed, the configuration service is paused, a
# target leaves, processes shut down gracefully under load, an engine goes silent,
# and two promotions race. Callers run throughout. The verdict doesn't depend on
# timing: it comes from the callers' checks of every answer, the services' counts of
# executions, and hawthornferry replay over the decision logs.
# Exit code 1 if a result is not as required.
#
#   script/failures.sh
#
# Environment:
#   FAIL_NET=60    second byte of the IP addresses, 127.FAIL_NET.x.y
#   PAUSE=6        seconds for which a process is paused or silent
set -euo pipefail
cd "$(dirname "$0")/.."

net=${FAIL_NET:-60}
pause=${PAUSE:-6}
dir=run/failures
mib=1048576
customers=fremantle-buskers=4,broome-buskers=2,kalgoorlie-buskers=1

declare -A pids=()

stop_all() {
  local code=$? pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  sleep 2
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "failures: $*" >&2
  exit 1
}

note() { echo "$(date +%T) $*"; }

# start NAME starts a process of the plan.
start() {
  local words
  read -ra words <<<"$(awk -v name="$1" '$1 == name { sub(/^[^ ]+ /, ""); print }' "$dir/processes")"
  "bin/${words[0]}" "${words[@]:1}" >>"$dir/$1.log" 2>&1 &
  pids[$1]=$!
}

# start_all PROGRAM starts the processes of the plan that run a program.
start_all() {
  local name program
  while read -r name program _; do
    if [[ $program == "$1" ]]; then start "$name"; fi
  done <"$dir/processes"
}

# signal SIGNAL NAME sends a signal to a process that this script started.
signal() { kill "-$1" "${pids[$2]}"; }

# replace NAME waits until a process has exited and starts it again.
replace() {
  wait "${pids[$1]}" 2>/dev/null || true
  start "$1"
}

# field FILTER prints a value of the plan, selected by a jq filter.
field() { jq -r "$1" "$dir/fleet.json"; }

put_document() {
  curl -sS --max-time 5 -X PUT --data-binary "@$1" "http://$(field .config)/control/documents/pindan" >/dev/null
}

put_vm() {
  local vm
  vm=$(jq -c --arg name "$1" --arg state "$2" \
    '.sides[].vm | select(.name == $name) | .state = $state' "$dir/fleet.json")
  curl -sS --max-time 5 -X PUT --data "$vm" "http://$(field .vmList)/control/vms/$1" >/dev/null
}

engine_fault() {
  local target
  target=$(jq -r --arg name "$1" '.sides[] | select(.vm.name == $name) | .target' "$dir/fleet.json")
  curl -sS --max-time 5 -X POST --data "$2" "http://$target/control/faults" >/dev/null
}

killed() {
  note "$1 is killed and restarted"
  signal KILL "$1"
  sleep 2
  replace "$1"
  sleep 4
}

paused() {
  note "$1 is paused for ${pause}s and resumed"
  signal STOP "$1"
  sleep "$pause"
  signal CONT "$1"
  sleep 4
}

ended() {
  note "$1 shuts down gracefully under load and is restarted"
  signal TERM "$1"
  replace "$1"
  sleep 4
}

service_down() {
  note "the configuration service is paused; an entry restarts meanwhile"
  signal STOP platform
  signal TERM entry-2
  replace entry-2
  sleep "$pause"
  signal CONT platform
  sleep 3
}

silent_engine() {
  note "an engine goes silent"
  engine_fault helper-3 '{"silent":true}'
  sleep "$pause"
  engine_fault helper-3 '{"silent":false}'
  sleep 2
}

leaving_target() {
  note "booking-3 leaves and comes back"
  put_vm booking-3 leaving
  sleep 9
  put_vm booking-3 live
  sleep 3
}

race() {
  note "two promotions race, five times"
  local _
  for _ in 1 2 3 4 5; do
    put_document "$dir/version-1.ini" &
    local one=$!
    put_document "$dir/version-2.ini" &
    wait "$one" "$!"
    sleep 1
  done
}

for program in standin hawthornferry; do
  [[ -x bin/$program ]] || fail "bin/$program is missing, run make build"
done
rm -rf "$dir"
mkdir -p "$dir"
: >"$dir/memory"
bin/standin fleet --document examples/pindan.ini --out "$dir" --net "$net" --entries 2
start_all standin
sleep 1
bin/standin publish --fleet "$dir" --number 1 --size $((2 * mib))
bin/standin publish --fleet "$dir" --number 2 --size $((8 * mib))
sleep 2
start_all hawthornferry
sleep 2
note "promoting version 1"
bin/standin promote --fleet "$dir" --number 1 --limit 120s >"$dir/promote-1.txt" || fail "version 1 is not served"

bin/standin callers --fleet "$dir" --progress --duration 300s --customers "$customers" \
  --lookup-service booking --lookup-path pitches --once-service booking --once-path payments \
  --stream 8/6 --whole 4/3 --lookups 4/20 --onces 6/15 --tokens 40 >"$dir/callers.json" 2>"$dir/callers.err" &
callers=$!
pids[callers]=$callers
sleep 3

killed booking-1
paused booking-2
paused entry-1
killed entry-1
ended entry-1
ended booking-1
service_down
silent_engine
leaving_target
race
note "promoting version 2 while a side of it is killed and another paused"
bin/standin promote --fleet "$dir" --number 2 --limit 120s >"$dir/promote-2.txt" &
promotion=$!
sleep 1
killed helper-1
paused helper-2
served=0
wait "$promotion" || served=1
sleep 2

unset 'pids[callers]'
kill "$callers"
sound=0
wait "$callers" || sound=1
tail -n 1 "$dir/callers.err"
table=0
bin/standin table --fleet "$dir" --faults || table=1
judged=0
bin/hawthornferry replay "$dir" || judged=1
((served == 0)) || fail "version 2 is not served everywhere"
((sound == 0 && table == 0 && judged == 0)) || fail "an outcome was missed, see $dir"
echo "every outcome held"
