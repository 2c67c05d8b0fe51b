#!/usr/bin/env bash
# Measures the CPU, memory and traffic that an entry, a side and a zone reader take at
# several sizes of the fleet: real processes and stand-ins on loopback, in three
# zones. It writes the means by role as CSV and stops every process that it started.
#
#   script/capacity.sh control FILE.csv   plain services: idle, at a promotion a
#                                         second and under calls, at each size
#   script/capacity.sh data FILE.csv      engines: new versions of four sizes,
#                                         and streams at three rates
#
# Environment:
#   SIZES="…"      sides:entries:customers:listed:subset of each size; listed is the
#                  number of additional VMs in the VM list, which are leaving, in a
#                  zone of their own and without a process; subset is how many
#                  sessions an entry keeps, 8 if left out
#   VERSIONS="…"   sizes of the versions in MiB
#   STREAMS="…"    numbers of concurrent streams
#   MEMORY=64MiB   soft memory limit of each process in the part data
#   INTERVAL=6     seconds of each phase
#   CAPACITY_NET=40   second byte of the IP addresses, 127.CAPACITY_NET.x.y
#
# Exit code 1 if a process exited by itself or does not have the last revision, or if
# a version is not served.
set -euo pipefail
cd "$(dirname "$0")/.."

usage='usage: script/capacity.sh control|data FILE.csv'
part=${1:?$usage}
csv=${2:?$usage}
sizes=${SIZES:-8:2:100:0 32:4:100:0 96:8:100:0 32:4:1000:0 32:4:100:2000}
interval=${INTERVAL:-6}
net=${CAPACITY_NET:-40}
dir=run/capacity
config=127.$net.0.1:6001
vms=127.$net.0.1:6002
tick=$(getconf CLK_TCK)

readonly zones=(east-a west-a south-a)
readonly regions=(east west south)

# The numbers of concurrent callers in the phases calls and onces; each caller waits
# for an answer before its next call.
readonly few=2 many=8

# The numbers of concurrent streams in the phases streams-N, and the tokens of each
# stream.
streams=${STREAMS-4 12 36}
readonly tokens=200

# The sizes of the versions in MiB; the first is served before the measurement.
versions=${VERSIONS:-2 8 16 32 64}

# The processes that have not exited this many tenths of a second after SIGTERM are
# killed.
readonly grace_tenths=50

declare -A pids=()
declare -A admins=()
declare -A roles=()
names=()
callers=()

running() { kill -0 "$1" 2>/dev/null; }

fail() {
  echo "capacity: $*" >&2
  exit 1
}

# end_all PID... stops the given processes.
end_all() {
  local pid tenths=0
  for pid in "$@"; do kill "$pid" 2>/dev/null || true; done
  for pid in "$@"; do
    while running "$pid" && ((tenths < grace_tenths)); do
      sleep 0.1
      tenths=$((tenths + 1))
    done
    kill -9 "$pid" 2>/dev/null || true
  done
  wait "$@" 2>/dev/null || true
}

stop_size() {
  end_all "${callers[@]}" "${pids[@]}"
  callers=() names=()
  pids=() admins=() roles=()
}

stop_all() {
  local code=$?
  trap - EXIT INT TERM
  stop_size
  exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME PROGRAM ARG... starts a process and appends its output to NAME.log in
# the run directory.
start() {
  local name=$1 program=$2
  shift 2
  "bin/$program" "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

check_all() {
  local name
  for name in "${!pids[@]}"; do
    running "${pids[$name]}" || fail "$name ended: $(tail -n 1 "$dir/$name.log")"
  done
}

# document SIDES CUSTOMERS SHARE prints the environment's document.
document() {
  local sides=$1 customers=$2 share=$3 i
  printf '[environment]\nname = capacity\nstage = trial\nweigh = originBytes\n'
  printf '[origin]\nregion = east\ncopies = 4\n'
  for i in 0 1 2; do
    printf '[region.%s]\nlink = 25Mbit\n[zone.%s]\nregion = %s\n' "${regions[i]}" "${zones[i]}" "${regions[i]}"
  done
  printf '[service.booking]\nkind = plain\nfencing = ignored\ntimeout = 5s\n'
  for i in 0 1 2; do
    printf 'replicas.%s = %d\n' "${zones[i]}" $(((sides + 2 - i) / 3))
  done
  printf '[region.far]\nlink = 25Mbit\n[zone.far-a]\nregion = far\n'
  for ((i = 1; i <= customers; i++)); do printf '[customer.c%04d]\nshare = %d\n' "$i" "$((i == 1 ? share : 1))"; done
}

promote() {
  document "$1" "$2" "$3" |
    curl -sS --fail -o /dev/null -X PUT --data-binary @- "http://$config/control/documents/capacity"
}

# add ROLE NAME GROUP I [SUBSET] adds a VM to the VM list and writes the settings of
# its process.
add() {
  local role=$1 name=$2 group=$3 i=$4 zone=${zones[$4 % 3]} region=${regions[$4 % 3]}
  local ip=127.$net.$group.$((i + 1)) service=
  {
    printf '[process]\nname = %s\nrole = %s\nzone = %s\nregion = %s\n' "$name" "$role" "$zone" "$region"
    printf '[listen]\npeers = %s:7001\nadmin = %s:9001\n' "$ip" "$ip"
    if [[ $role == entry ]]; then printf 'callers = %s:8001\n' "$ip"; fi
    printf '[platform]\nenvironment = capacity\nconfig = %s\nvmList = %s\n' "$config" "$vms"
    printf '[peers]\nseeds = 127.%s.1.1:7001, 127.%s.1.2:7001, 127.%s.2.1:7001\n' "$net" "$net" "$net"
    if [[ $role == side ]]; then
      printf '[target]\naddress = 127.%s.3.%s:5001\nservice = booking\nkind = plain\n' "$net" $((i + 1))
    fi
    if [[ $role == entry ]]; then printf '[limits]\nsubset = %d\n' "$5"; fi
    printf '[log]\nlevel = warning\ndecisions = %s/%s.decisions\n' "$dir" "$name"
  } >"$dir/$name.ini"
  if [[ $role == side ]]; then service=booking; fi
  curl -sS --fail -o /dev/null -X PUT "http://$vms/control/vms/$name" \
    --data "{\"name\":\"$name\",\"role\":\"$role\",\"zone\":\"$zone\",\"region\":\"$region\",\"service\":\"$service\",\"address\":\"$ip:7001\",\"state\":\"live\"}"
  names+=("$name")
  roles[$name]=$role
  admins[$name]=$ip:9001
}

# list_more COUNT adds VMs without a process to the VM list.
list_more() {
  local i
  (($1 > 0)) || return 0
  for ((i = 0; i < $1; i++)); do
    if ((i > 0)); then echo next; fi
    echo "url = http://$vms/control/vms/far-$i"
    echo 'request = PUT'
    echo "data = \"{\\\"name\\\":\\\"far-$i\\\",\\\"role\\\":\\\"side\\\",\\\"zone\\\":\\\"far-a\\\",\\\"region\\\":\\\"far\\\",\\\"service\\\":\\\"far\\\",\\\"address\\\":\\\"127.$net.$((100 + i / 250)).$((i % 250 + 1)):7001\\\",\\\"state\\\":\\\"leaving\\\"}\""
    echo 'output = /dev/null'
    echo 'silent'
    echo 'show-error'
    echo 'fail'
  done >"$dir/far.curl"
  curl --config "$dir/far.curl"
}

# reads prints how often the configuration service has been read.
reads() { curl -sS --fail "http://$config/control/calls" | sed 's/[^0-9]//g'; }

# processes_now FILE writes a line for each process: name, CPU ticks, resident KiB,
# and bytes of all read calls (files and sockets).
processes_now() {
  local name pid
  echo "at $EPOCHREALTIME" >"$1"
  for name in "${names[@]}"; do
    pid=${pids[$name]}
    awk -v name="$name" '
      FILENAME ~ /stat$/ { sub(/^.*\) /, ""); ticks = $12 + $13 }
      $1 == "VmRSS:" { kib = $2 }
      $1 == "rchar:" { bytes = $2 }
      END { print name, ticks, kib, bytes }' "/proc/$pid/stat" "/proc/$pid/status" "/proc/$pid/io" >>"$1"
  done
}

# status_now FILE writes a line for each process: name, whether it is a reader,
# revision, connections to peers, sessions, calls done, and bytes received and sent
# by purpose.
status_now() {
  local name
  local -a args=()
  for name in "${names[@]}"; do args+=(-o "$dir/$name.json" "http://${admins[$name]}/v1/status"); done
  echo "at $EPOCHREALTIME" >"$1"
  curl -sS --fail "${args[@]}"
  for name in "${names[@]}"; do
    tr -d ' \n' <"$dir/$name.json" | awk -v name="$name" '
      function number(key) { return match($0, "\"" key "\":[0-9]+") ? substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3) : 0 }
      function traffic(purpose, way,   s) {
        if (!match($0, "\"purpose\":\"" purpose "\",\"received\":[0-9]+,\"sent\":[0-9]+")) return 0
        s = substr($0, RSTART, RLENGTH)
        sub(".*\"" way "\":", "", s); sub(/,.*/, "", s)
        return s
      }
      {
        done = 0; rest = $0
        while (match(rest, /"done":[0-9]+/)) { done += substr(rest, RSTART + 7, RLENGTH - 7); rest = substr(rest, RSTART + RLENGTH) }
        sessions = match($0, /"name":"sessions","entries":[0-9]+/) ? substr($0, RSTART + 28, RLENGTH - 28) : 0
        print name, ($0 ~ /"reader":true/), number("revision"), number("peers"), sessions, done,
          traffic("config", "received"), traffic("config", "sent"),
          traffic("calls", "received"), traffic("calls", "sent"),
          traffic("weights", "received"), traffic("weights", "sent"),
          traffic("orders", "received"), traffic("orders", "sent")
      }' >>"$1"
  done
}

# phase_begin records the counters at the start of a phase.
phase_begin() {
  status_now "$dir/status.0"
  reads_0=$(reads)
  processes_now "$dir/proc.0"
}

# phase_end NAME SIZE [TOKENS] ends the phase and writes a row for each role. In the
# phases idle and change, a process that reads from the platform counts as a reader.
# In the other phases processes count by their role, except that entry-1, which gets
# all calls, has a row of its own (called).
phase_end() {
  processes_now "$dir/proc.1"
  local reads_1
  reads_1=$(reads)
  status_now "$dir/status.1"
  for name in "${names[@]}"; do echo "$name ${roles[$name]}"; done >"$dir/roles"
  awk -v phase="$1" -v size="$2" -v tick="$tick" -v reads="$((reads_1 - reads_0))" -v tokens="${3:-0}" '
    FILENAME ~ /roles$/ { role[$1] = $2; next }
    $1 == "at" { at[FILENAME] = $2; next }
    FILENAME ~ /proc.0$/ { ticks[$1] = $2; rchar[$1] = $4; next }
    FILENAME ~ /proc.1$/ { ticks[$1] = $2 - ticks[$1]; kib[$1] = $3; rchar[$1] = $4 - rchar[$1]; next }
    FILENAME ~ /status.0$/ { reader[$1] = $2; for (i = 6; i <= 14; i++) was[$1, i] = $i; next }
    {
      r = role[$1]
      if (phase == "idle" || phase == "change") {
        # A process that was a reader at only one end of the phase is not counted.
        if ($2 != reader[$1]) next
        if ($2) r = "reader"
      } else if ($1 == "entry-1") r = "called"
      n[r]++
      cpu[r] += ticks[$1]
      if (ticks[$1] > top[r]) top[r] = ticks[$1]
      rss[r] += kib[$1]
      if (kib[$1] > toprss[r]) toprss[r] = kib[$1]
      peers[r] += $4; sessions[r] += $5
      for (i = 6; i <= 14; i++) sum[r, i] += $i - was[$1, i]
      got = $7 - was[$1, 7] + $9 - was[$1, 9] + $11 - was[$1, 11] + $13 - was[$1, 13]
      if (rchar[$1] > got) other[r] += rchar[$1] - got
    }
    END {
      split(size, s, ":")
      for (f in at) { if (f ~ /proc.0/) p0 = at[f]; if (f ~ /proc.1/) p1 = at[f]; if (f ~ /status.0/) s0 = at[f]; if (f ~ /status.1/) s1 = at[f] }
      dp = p1 - p0; ds = s1 - s0
      split("entry called side engineSide reader", order, " ")
      for (k = 1; k <= 5; k++) {
        r = order[k]
        if (!n[r]) continue
        printf "%s,%d,%d,%d,%d,%s,%d,%.1f,%.3f,%.3f,%.1f,%.1f,%.1f,%.1f,%.1f", phase, s[1], s[2], s[3], s[4], r, n[r], dp,
          cpu[r] / n[r] / tick / dp * 100, top[r] / tick / dp * 100, rss[r] / n[r] / 1024, toprss[r] / 1024,
          peers[r] / n[r], sessions[r] / n[r], sum[r, 6] / n[r] / ds
        for (i = 7; i <= 14; i++) printf ",%.0f", sum[r, i] / n[r] / ds
        printf ",%.0f,%.1f,%.0f\n", other[r] / n[r] / dp, reads / dp, r == "called" ? tokens / dp : 0
      }
    }' "$dir/roles" "$dir/proc.0" "$dir/proc.1" "$dir/status.0" "$dir/status.1" | tee -a "$csv"
}

# call COUNT METHOD starts callers of the first entry, each with one call at a time.
call() {
  local i
  for ((i = 0; i < $1; i++)); do
    curl -s -o /dev/null -X "$2" "http://127.$net.1.1:8001/v1/services/booking/pitches/[1-1000000]" &
    callers+=("$!")
  done
}

end_calls() {
  end_all "${callers[@]}"
  callers=()
}

# wait_for_revision N waits until each process has the revision.
wait_for_revision() {
  local tenths behind
  for ((tenths = 0; tenths < 100; tenths += 5)); do
    status_now "$dir/status.w" 2>/dev/null || { sleep 0.5; continue; }
    behind=$(awk -v want="$1" '$1 != "at" && $3 != want' "$dir/status.w" | wc -l)
    if ((behind == 0)); then return; fi
    sleep 0.5
  done
  check_all
  fail "$behind processes do not hold revision $1"
}

measure() {
  local size=$1 sides entries customers listed subset i targets= revision=1
  IFS=: read -r sides entries customers listed subset <<<"$size"
  subset=${subset:-8}
  rm -rf "$dir"
  mkdir -p "$dir"
  start platform standin platform --config "$config" --vms "$vms"
  for ((i = 1; i <= sides; i++)); do targets+=,127.$net.3.$i:5001; done
  start targets standin service --name booking --listen "${targets#,}"
  sleep 0.5
  check_all
  promote "$sides" "$customers" 1
  for ((i = 0; i < entries; i++)); do add entry "entry-$((i + 1))" 1 "$i" "$subset"; done
  for ((i = 0; i < sides; i++)); do add side "booking-$((i + 1))" 2 "$i"; done
  list_more "$listed"
  sleep 1.5
  for i in "${names[@]}"; do start "$i" hawthornferry "${roles[$i]}" "$dir/$i.ini"; done
  wait_for_revision 1
  sleep 4

  phase_begin
  sleep "$interval"
  phase_end idle "$size"

  phase_begin
  for ((i = 0; i < interval; i++)); do
    sleep 1 &
    promote "$sides" "$customers" $((i + 2))
    wait "$!"
  done
  phase_end change "$size"
  wait_for_revision $((revision + interval))

  if ((customers == 100 && listed == 0 && subset == 8)); then
    call "$few" GET
    measure_calls "$size" calls
    call $((many - few)) GET
    measure_calls "$size" calls
    end_calls
    call "$many" POST
    measure_calls "$size" onces
    end_calls
  fi
  check_all
  stop_size
}

# measure_calls SIZE PHASE measures a phase while the callers run.
measure_calls() {
  sleep 0.5
  phase_begin
  sleep "$((interval / 2))"
  phase_end "$2" "$1"
}

# chat COUNT starts callers that request one stream after another from the first
# entry, and keeps the responses.
chat() {
  local i
  for ((i = 0; i < $1; i++)); do
    curl -sN --data "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":$tokens,\"messages\":[{\"role\":\"user\",\"content\":\"caller ${#callers[@]}\"}]}" \
      "http://127.$net.1.1:8001/v1/chat/completions?[1-1000000]" >"$dir/stream.${#callers[@]}" &
    callers+=("$!")
  done
}

# events prints how many events the callers have received.
events() { cat "$dir"/stream.* | grep -c '^data: {' || true; }

measure_data() {
  local name words number=0 mib count before after size=10:2:3:0
  local -r mib_bytes=1048576
  rm -rf "$dir"
  mkdir -p "$dir"
  bin/standin fleet --document examples/schools.ini --out "$dir" --net "$net" --entries 2
  while read -r name line; do
    read -ra words <<<"$line"
    if [[ ${words[0]} == standin ]]; then start "$name" "${words[@]}"; fi
  done <"$dir/processes"
  sleep 1
  check_all
  for mib in $versions; do
    number=$((number + 1))
    bin/standin publish --fleet "$dir" --number "$number" --size $((mib * mib_bytes))
  done
  sleep 2
  while read -r name line; do
    read -ra words <<<"$line"
    [[ ${words[0]} == hawthornferry ]] || continue
    start "$name" "${words[@]}" --limits-memory "${MEMORY:-64MiB}"
    names+=("$name")
    roles[$name]=${words[1]}
    if [[ $name == assistant-* ]]; then roles[$name]=engineSide; fi
    admins[$name]=$(awk '$1 == "admin" { print $3 }' "${words[2]}")
  done <"$dir/processes"
  sleep 2
  number=0
  for mib in $versions; do
    number=$((number + 1))
    if ((number > 1)); then phase_begin; fi
    bin/standin promote --fleet "$dir" --number "$number" --limit 90s >>"$dir/promote.log" || fail "version $number is not served, see $dir"
    if ((number > 1)); then phase_end "weights-${mib}MiB" "$size"; fi
  done
  count=0
  for after in $streams; do
    chat $((after - count))
    count=$after
    sleep 1
    phase_begin
    before=$(events)
    sleep "$((interval - 1))"
    phase_end "streams-$count" "$size" "$(($(events) - before))"
  done
  check_all
  stop_size
}

for program in standin hawthornferry; do
  [[ -x bin/$program ]] || fail "bin/$program is missing, run make build"
done
mkdir -p "$(dirname "$csv")"
echo "phase,sides,entries,customers,listed,role,processes,seconds,corePercent,maxCorePercent,rssMiB,maxRssMiB,peers,sessions,callsPerS,configInPerS,configOutPerS,callsInPerS,callsOutPerS,weightsInPerS,weightsOutPerS,ordersInPerS,ordersOutPerS,platformInPerS,serviceReadsPerS,tokensPerS" >"$csv"
case $part in
control) for size in $sizes; do measure "$size"; done ;;
data) measure_data ;;
*) echo "$usage" >&2; exit 2 ;;
esac
