package gossip

import (
	"fmt"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// Readers is how many processes of a zone read the platform.
const Readers = 3

// Turn is how long the same processes read. The next ones take over then, so
// that reading whole documents and lists costs each process little on
// average, however large they are.
const Turn = 30 * time.Second

// turnOverlap is how long a reader goes on after its turn. Processes see the
// turn change by their own clocks; without the overlap a zone would be
// without readers when the old ones are ahead and the new ones behind.
const turnOverlap = 5 * time.Second

// A process that is no reader steps in when none of its zone's readers has
// been heard of for standInAfter, later by standInStep for each process that
// ranks before it. The news of a reader takes up to about five exchanges
// through a zone; the wait is twice that.
const (
	standInAfter = 10 * time.Second
	standInStep  = time.Second
)

// aloneAfter is how long a process may be without any peer before it reads
// for itself. Every process is without peers when it starts; if each became a
// reader then, a fleet that starts would read twice as often.
const aloneAfter = 2 * time.Second

// IsReader reports whether the process called self reads the platform at
// now. members are the names of the live processes of its zone. A process
// that has been without peers for aloneAfter reads for itself.
//
// The VM list lags and its readers may all have died at once, in which case
// it would never say so: a live reader is therefore also told from peer to
// peer, by its age, and silence lets the next in rank step in. A reader that
// is alive but cannot reach the platform keeps its turn, so that a platform
// that is down does not draw the reads of every process.
func (n *Node) IsReader(self string, members []string, now time.Time) bool {
	if len(n.peers) == 0 && now.Sub(n.aloneSince) > aloneAfter {
		return true
	}
	place := position(self, members, n.Zone, now)
	if place < Readers || position(self, members, n.Zone, now.Add(-turnOverlap)) < Readers {
		return true
	}
	wait := standInAfter + time.Duration(place)*standInStep
	return n.ReaderAge(now) > wait
}

// position is the place of self in the order of readers at now. A process
// that the list does not name comes last, and after the readers. A zone that
// the list does not name at all has nobody else who reads for it: the list
// lags behind a zone that starts, and without this its processes would each
// hold the empty list for standInAfter and take themselves for the only ones.
func position(self string, members []string, zone string, now time.Time) int {
	if len(members) == 0 {
		return 0
	}
	place := rank.Position(turnKey(zone, now), self, members)
	if place < 0 {
		return max(len(members), Readers)
	}
	return place
}

func turnKey(zone string, now time.Time) string {
	return fmt.Sprintf("reader/%s/%d", zone, now.UnixNano()/int64(Turn))
}

// ReaderAge is the time since a reader of the zone is known to have been
// alive.
func (n *Node) ReaderAge(now time.Time) time.Duration {
	return max(0, now.Sub(n.readerSeen))
}

// Reading records that this process is a reader at now.
func (n *Node) Reading(now time.Time) { n.readerSeen = now }

// How many peers a process connects to, in its own zone and in others. As
// each also accepts about as many, the fleet is a random graph of about
// twice that degree, in which news takes a handful of steps, and in which a
// zone whose readers are all gone still hears from other zones.
const (
	ZoneLinks  = 3
	OtherLinks = 1
)

// Candidates are the processes to connect to, the preferred ones first. A
// process takes the first ZoneLinks and OtherLinks of them that it reaches.
type Candidates struct {
	Zone  []fleet.VM
	Other []fleet.VM
}

// Neighbours ranks the live processes of vms for the process called self.
// The order differs from process to process, and a process that comes or
// goes moves only the connections to itself.
func Neighbours(self, zone string, vms []fleet.VM) Candidates {
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
