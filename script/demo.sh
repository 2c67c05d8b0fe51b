#!/usr/bin/env bash
# Runs the demonstration: stand-ins for the platform, two entries and a side beside
# each target of a deployment, all on loopback. Promotes version 1, then version 2
# while callers run, prints the table of results and stops every process that it
# started. Exit code 1 if a result is not as required.
#
#   script/demo.sh DEPLOYMENT       pindan or schools
#
# Environment:
#   SIZE_MIB=64    size of version 2; version 1 has a quarter of it
#   LIMIT=180      most seconds for each rollout
#   DEMO_NET=20    second byte of the IP addresses, 127.DEMO_NET.x.y; the default is
#                  30 for schools
#   FAULTS=1       during the rollout of version 2, makes the connections to two
#                  sides go silent, kills two other sides and an entry, pauses two
#                  more sides for 5 s, and restarts the killed processes
#   OVERHEAD=1     at the end measures how much latency the entries add to a call
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-pindan}
size_mib=${SIZE_MIB:-64}
limit=${LIMIT:-180}
faults=${FAULTS:-0}
overhead=${OVERHEAD:-0}
dir=run/$deployment
mib=1048576

case $deployment in
pindan)
  net=${DEMO_NET:-20} chat=helper lookup=booking path=pitches once=booking once_path=payments
  customers=fremantle-buskers=4,broome-buskers=2,kalgoorlie-buskers=1
  ;;
schools)
  net=${DEMO_NET:-30} chat=assistant lookup=catalogue path=devices once=enrolment once_path=enrolments
  customers=auckland-north=4,te-whanganui-a-tara=2,waitaha=1
  ;;
*)
  echo "demo: unknown deployment $deployment, want pindan or schools" >&2
  exit 2
  ;;
esac

declare -A pids=()

# The processes that have not exited this many tenths of a second after SIGTERM are
# killed, so that a failed run leaves no process behind.
readonly grace_tenths=100

running() { kill -0 "$1" 2>/dev/null; }

# stop_all stops every process that this script started, by its process id.
stop_all() {
  local code=$? pid tenths=0
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    while running "$pid" && ((tenths < grace_tenths)); do
      sleep 0.1
      tenths=$((tenths + 1))
    done
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# start NAME PROGRAM ARG... starts a process and appends its output to NAME.log in
# the run directory.
start() {
  local name=$1 program=$2
  shift 2
  "bin/$program" "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

# check_all fails if a process has exited by itself, for instance because a port was
# in use, and prints the last line of its log.
check_all() {
  local name
  for name in "${!pids[@]}"; do
    running "${pids[$name]}" || fail "$name ended: $(tail -n 1 "$dir/$name.log")"
  done
}

# command_of NAME prints the program and the arguments of a process of the plan.
command_of() { awk -v name="$1" '$1 == name { sub(/^[^ ]+ /, ""); print }' "$dir/processes"; }

# restart NAME starts a process of the plan again.
restart() {
  local words
  read -ra words <<<"$(command_of "$1")"
  start "$1" "${words[@]}"
}

# follow runs a command in the background and waits for it. Bash runs a trap only
# after a foreground command has ended, but a signal interrupts wait at once. With a
# foreground command, an interrupt would take effect only after the rollout.
follow() {
  local code=0
  "$@" &
  pids[follow]=$!
  wait "${pids[follow]}" || code=$?
  unset 'pids[follow]'
  return "$code"
}

# start_all PROGRAM starts the processes of the plan that run a program.
start_all() {
  local name words
  while read -r name line; do
    read -ra words <<<"$line"
    if [[ ${words[0]} == "$1" ]]; then start "$name" "${words[@]}"; fi
  done <"$dir/processes"
}

# memory WHEN appends the resident memory of each process of the system, in KiB, to
# the file memory, from which the table command reads it.
memory() {
  local name pid kib
  while read -r name program _; do
    [[ $program == hawthornferry ]] || continue
    pid=${pids[$name]}
    kib=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/$pid/status" 2>/dev/null || ps -o rss= -p "$pid")
    echo "$1 $name ${kib:-0}" >>"$dir/memory"
  done <"$dir/processes"
}

# break_some injects the faults of FAULTS=1 while version 2 is rolled out. It makes
# the connections to a side of each kind go silent, then kills a side of each kind
# and an entry, and pauses two other sides. After 5 s it restarts the killed
# processes and resumes the paused ones.
break_some() {
  local name
  local -r names=("$chat-1" "$once-1" entry-1)
  local -r paused=("$chat-3" "$once-3")
  sleep 3
  bin/standin silence --fleet "$dir" --name "$chat-2"
  bin/standin silence --fleet "$dir" --name "$once-2"
  sleep 3
  echo "killing ${names[*]}"
  for name in "${names[@]}"; do kill -9 "${pids[$name]}"; done
  for name in "${names[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  echo "pausing ${paused[*]}"
  for name in "${paused[@]}"; do kill -STOP "${pids[$name]}"; done
  sleep 5
  echo "replacing ${names[*]}, resuming ${paused[*]}"
  for name in "${names[@]}"; do restart "$name"; done
  for name in "${paused[@]}"; do kill -CONT "${pids[$name]}"; done
}

for program in standin hawthornferry; do
  [[ -x bin/$program ]] || fail "bin/$program is missing, run make build"
done
rm -rf "$dir"
mkdir -p "$dir"
layout=()
if [[ $faults == 1 ]]; then layout=(--relay); fi
bin/standin fleet --document "examples/$deployment.ini" --out "$dir" --net "$net" --entries 2 "${layout[@]}"

echo "$deployment: starting $(wc -l <"$dir/processes") processes, logs in $dir"
start_all standin
sleep 1
check_all
follow bin/standin publish --fleet "$dir" --number 1 --size $((size_mib * mib / 4))
follow bin/standin publish --fleet "$dir" --number 2 --size $((size_mib * mib))
bin/hawthornferry check "$dir/version-2.ini"

# The platform lists a VM before its processes run, and the VM list shows a change
# with a delay of a second.
sleep 2
start_all hawthornferry
sleep 2
check_all

echo "promoting version 1"
follow bin/standin promote --fleet "$dir" --number 1 --limit "${limit}s" || fail "version 1 is not served, see $dir"
check_all
memory rest

echo "starting callers"
bin/standin callers --fleet "$dir" --progress --duration "$((limit + 30))s" --customers "$customers" \
  --lookup-service "$lookup" --lookup-path "$path" --once-service "$once" --once-path "$once_path" \
  --stream 8/6 --whole 4/3 --lookups 4/20 --onces 4/10 --tokens 40 >"$dir/callers.json" 2>"$dir/callers.log" &
pids[callers]=$!
sleep 3

echo "promoting version 2"
bin/standin promote --fleet "$dir" --number 2 --limit "${limit}s" &
promotion=$!
pids[promotion]=$promotion
if [[ $faults == 1 ]]; then break_some; fi
served=0
wait "$promotion" || served=1
unset 'pids[promotion]'
memory load
sleep 3
callers=${pids[callers]}
unset 'pids[callers]'
kill "$callers"
sound=0
wait "$callers" || sound=1
tail -n 1 "$dir/callers.log"
check_all

if [[ $overhead == 1 ]]; then
  echo "measuring the overhead of the entries: the same calls alternately through them and directly"
  follow bin/standin callers --fleet "$dir" --direct --duration 12s --slice 1s --customers "$customers" \
    --lookup-service "$lookup" --lookup-path "$path" --once-service "$once" --once-path "$once_path" \
    --stream 2 --whole 0 --lookups 2 --onces 2 --ticket-every 0 >"$dir/overhead.json"
fi

table=0
if [[ $faults == 1 ]]; then
  bin/standin table --fleet "$dir" --faults || table=1
else
  bin/standin table --fleet "$dir" || table=1
fi
((served == 0 && sound == 0 && table == 0)) || fail "an outcome was missed, see $dir"
echo "every outcome held"
