#!/usr/bin/env bash
# Fits a line to each relation in the tables that script/capacity.sh writes, by least
# squares over all sizes of the fleet, and prints what it relates, the number of
# points, the value at zero and the slope.
#
#   script/capacity-slopes.sh FILE.csv...
set -euo pipefail

: "${1:?usage: script/capacity-slopes.sh FILE.csv...}"

awk -F, '
  FNR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; next }
  function point(what, x, y) {
    if (!(what in n)) order[++kinds] = what
    n[what]++; sx[what] += x; sy[what] += y; sxx[what] += x * x; sxy[what] += x * y
  }
  {
    phase = $at["phase"]; role = $at["role"]; seconds = $at["seconds"]
    fleet = $at["sides"] + $at["entries"]
    core = $at["corePercent"]; rss = $at["rssMiB"]; calls = $at["callsPerS"]; tokens = $at["tokensPerS"]
    config = $at["configInPerS"] + $at["configOutPerS"]
    session = $at["callsInPerS"] + $at["callsOutPerS"]
    other = FILENAME ~ /sessions/
    plain = $at["customers"] == 100 && $at["listed"] == 0 && !other
  }
  (phase == "idle" || phase == "change") && $at["customers"] == 100 && $at["listed"] == 0 && $at["sides"] == 32 && role == "entry" {
    point("entry " phase ": core % over sessions", $at["sessions"], core)
    point("entry " phase ": MiB resident over sessions", $at["sessions"], rss)
    point("entry " phase ": call bytes/s over sessions", $at["sessions"], session)
  }
  (phase == "idle" || phase == "change") && plain {
    point(role " " phase ": core % over processes", fleet, core)
    point(role " " phase ": MiB resident over processes", fleet, rss)
    point(role " " phase ": config bytes/s over processes", fleet, config)
    if (role == "reader") {
      point("service " phase ": reads/s over processes", fleet, $at["serviceReadsPerS"])
      point("reader " phase ": platform bytes/s over processes", fleet, $at["platformInPerS"])
    }
    if (phase == "idle" && role == "entry") {
      point("called entry: core % over calls/s", 0, core)
      point("called entry: core % over onces/s", 0, core)
      point("all sides: core % over calls/s", 0, 0)
      point("all sides: core % over onces/s", 0, 0)
    }
  }
  (phase == "idle" || phase == "change") && $at["sides"] == 32 && !other {
    if ($at["listed"] == 0) {
      point(role " " phase ": core % over customers", $at["customers"], core)
      point(role " " phase ": MiB resident over customers", $at["customers"], rss)
      if (role == "reader") point("reader " phase ": platform bytes/s over customers", $at["customers"], $at["platformInPerS"])
    }
    if ($at["customers"] == 100) {
      point(role " " phase ": core % over VMs listed", fleet + $at["listed"], core)
      point(role " " phase ": MiB resident over VMs listed", fleet + $at["listed"], rss)
      if (role == "reader") point("reader " phase ": platform bytes/s over VMs listed", fleet + $at["listed"], $at["platformInPerS"])
    }
  }
  # At the smallest size every side is a reader, so its idle CPU use is that of a
  # reader.
  phase == "idle" && plain && (role == "side" || !(fleet in rest)) { rest[fleet] = core }
  phase == "calls" || phase == "onces" {
    if (role == "called") { called = calls; point("called entry: core % over " phase "/s", calls, core); point("called entry: call bytes/s over " phase "/s", calls, session) }
    if (role == "side") point("all sides: core % over " phase "/s", called, (core - rest[fleet]) * $at["processes"])
  }
  phase ~ /^streams-/ {
    if (role == "called") { spoken = tokens; point("called entry: core % over tokens/s", tokens, core); point("called entry: call bytes/s over tokens/s", tokens, session); point("called entry: MiB resident over tokens/s", tokens, rss) }
    if (role == "engineSide") point("all sides: core % over tokens/s", spoken, core * $at["processes"])
  }
  phase ~ /^weights-/ && role == "engineSide" {
    mib = phase; gsub(/[^0-9]/, "", mib)
    point("side with an engine: core seconds over MiB of a version", mib, core / 100 * seconds)
    point("side with an engine: MiB resident over MiB of a version", mib, rss)
    point("side with an engine: seconds over MiB of a version", mib, seconds)
    point("side with an engine: order bytes a rollout over MiB of a version", mib, ($at["ordersInPerS"] + $at["ordersOutPerS"]) * seconds)
    point("side with an engine: weights MiB in and out over MiB of a version", mib, ($at["weightsInPerS"] + $at["weightsOutPerS"]) * seconds / 1048576)
  }
  END {
    for (k = 1; k <= kinds; k++) {
      w = order[k]
      d = n[w] * sxx[w] - sx[w] * sx[w]
      if (d == 0) { printf "%-62s %2d points  mean %.4g\n", w, n[w], sy[w] / n[w]; continue }
      slope = (n[w] * sxy[w] - sx[w] * sy[w]) / d
      printf "%-62s %2d points  at zero %.4g  slope %.4g\n", w, n[w], (sy[w] - slope * sx[w]) / n[w], slope
    }
  }' "$@"
