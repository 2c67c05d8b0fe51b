package gossip

import (
	"fmt"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// ReadersPerZone is how many processes of each zone read from the platform.
const ReadersPerZone = 3

// ReaderTurn is how long the same processes stay readers. Rotating them keeps
// each process's average cost of reading whole documents and lists low, however
// large they are.
const ReaderTurn = 30 * time.Second

// turnOverlap is how long a reader continues after its turn. Processes see the
// turn change by their own clocks. Without the overlap a zone would have no
// readers while the old ones' clocks are ahead and the new ones' are behind.
const turnOverlap = 5 * time.Second

// A process that is not a reader takes over when no reader of its zone is known
// to have been alive for failoverDelay, plus failoverStep for each process that
// ranks before it. News of a live reader takes up to about five exchanges to
// spread through a zone; the delay is twice that.
const (
	failoverDelay = 10 * time.Second
	failoverStep  = time.Second
)

// noPeersTimeout is how long a process may be without peers before it reads
// from the platform itself. Every process starts without peers; if each became
// a reader at once, a starting fleet would read twice as often.
const noPeersTimeout = 2 * time.Second

// IsReader reports whether the process called self reads from the platform at
// now. members are the names of the live processes of its zone. A process that
// has been without peers for noPeersTimeout always reads.
//
// The VM list lags, and if all its readers died at once it would never show
// that. Peers therefore also pass on how long ago a reader was alive, and if
// none was for long enough, the next process in rank starts to read. A reader
// that is alive but cannot reach the platform stays a reader, so that an outage
// of the platform doesn't cause every process to read.
func (n *Node) IsReader(self string, members []string, now time.Time) bool {
	if len(n.peers) == 0 && now.Sub(n.noPeersSince) > noPeersTimeout {
		return true
	}
	selfRank := readerRank(self, members, n.Zone, now)
	if selfRank < ReadersPerZone || readerRank(self, members, n.Zone, now.Add(-turnOverlap)) < ReadersPerZone {
		return true
	}
	wait := failoverDelay + time.Duration(selfRank)*failoverStep
	return n.ReaderAge(now) > wait
}

// readerRank returns the rank of self among the candidates for reader at now;
// the first ReadersPerZone of them read. A process that is not in the list ranks
// last and never among the readers. If the zone is not in the list at all, self
// ranks first: the list lags behind a starting zone, and otherwise its processes
// would keep the empty list for failoverDelay and each take itself for the only
// one.
func readerRank(self string, members []string, zone string, now time.Time) int {
	if len(members) == 0 {
		return 0
	}
	selfRank := rank.Position(turnKey(zone, now), self, members)
	if selfRank < 0 {
		return max(len(members), ReadersPerZone)
	}
	return selfRank
}

func turnKey(zone string, now time.Time) string {
	return fmt.Sprintf("reader/%s/%d", zone, now.UnixNano()/int64(ReaderTurn))
}

// ReaderAge returns how long ago a reader of the zone was last known to be
// alive.
func (n *Node) ReaderAge(now time.Time) time.Duration {
	return max(0, now.Sub(n.lastReaderAlive))
}

// MarkReader records that this process is itself a reader at now.
func (n *Node) MarkReader(now time.Time) { n.lastReaderAlive = now }

// The number of peers that a process connects to, in its own zone and in others.
// As each process also accepts about as many connections, the fleet is a random
// graph of about twice that degree. In it news spreads in a handful of steps,
// and a zone without any reader still gets updates from other zones.
const (
	PeersInZone       = 3
	PeersInOtherZones = 1
)

// Candidates are the processes to connect to, in order of preference. A process
// connects to the first PeersInZone and PeersInOtherZones of them that it can
// reach.
type Candidates struct {
	Zone  []fleet.VM
	Other []fleet.VM
}

// RankPeers ranks the live processes in vms as peers for the process called
// self. The order differs between processes, and when a process is added or
// removed only the connections to it change.
func RankPeers(self, zone string, vms []fleet.VM) Candidates {
	var inZone, other []fleet.VM
	for _, v := range vms {
		switch {
		case v.Name == self || v.State != fleet.StateLive:
		case v.Zone == zone:
			inZone = append(inZone, v)
		default:
			other = append(other, v)
		}
	}
	name := func(v fleet.VM) string { return v.Name }
	return Candidates{
		Zone:  rank.Order(self, inZone, name),
		Other: rank.Order(self, other, name),
	}
}
