package demo

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
)

// The ports of a demonstration. Processes differ by IP number.
const (
	portConfig  = 6001
	portVMList  = 6002
	portStore   = 6003
	portOrigin  = 6004
	portPeers   = 7001
	portCallers = 8001
	portAdmin   = 9001
	portTarget  = 5001
	portRelay   = 7900
)

// The third number of the IP of each group of processes.
const (
	groupPlatform = 0
	groupEntry    = 1
	groupSide     = 2
	groupTarget   = 3
	groupRelay    = 4
)

// maxGroupSize bounds a group of processes.
const maxGroupSize = 60

// The origin's link carries four copies, and a machine's link two, in the
// time in which a thin region link carries one.
const (
	machineCopies = 2
	originCopies  = 4
)

// Layout says how a fleet is laid out: the second number of its IP numbers,
// 127.Net.x.y, the number of entries, which go in turn over the zones, and
// whether the sides are reached through a relay.
type Layout struct {
	Net     int
	Entries int
	Relay   bool
}

// Check reports the first field that is out of its domain.
func (l Layout) Check() error {
	if l.Net < 0 || l.Net > 255 {
		return errors.Newf("net %d: want 0 to 255", l.Net)
	}
	if l.Entries < 1 || l.Entries > maxGroupSize {
		return errors.Newf("entries %d: want 1 to %d", l.Entries, maxGroupSize)
	}
	return nil
}

// Plan lays out the fleet of the document at path.
func Plan(path string, l Layout) (*Fleet, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	doc, err := envdoc.Parse(path, 1, text)
	if err != nil {
		return nil, err
	}
	p := planner{doc: doc, layout: l}
	f := &Fleet{
		Environment: doc.Name,
		Document:    path,
		Config:      p.address(groupPlatform, 0, portConfig),
		VMList:      p.address(groupPlatform, 0, portVMList),
		Store:       p.address(groupPlatform, 1, portStore),
		Origin:      p.address(groupPlatform, 1, portOrigin),
	}
	if l.Relay {
		f.Relay = p.address(groupPlatform, 2, portRelay)
	}
	f.Links = p.links()
	for i := range l.Entries {
		f.Entries = append(f.Entries, p.entry(i))
	}
	for _, s := range doc.Services {
		f.Sides = p.sides(f.Sides, s)
	}
	if len(f.Sides) > maxGroupSize {
		return nil, errors.Newf("%s: %d replicas, want at most %d", path, len(f.Sides), maxGroupSize)
	}
	return f, nil
}

type planner struct {
	doc    *envdoc.Document
	layout Layout
}

func (p planner) address(group, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(p.layout.Net), byte(group), byte(i + 1)}), port)
}

// links sets all links by the thinnest region link.
func (p planner) links() Links {
	var slowest int64
	for _, r := range p.doc.Regions {
		if slowest == 0 || r.LinkRate < slowest {
			slowest = r.LinkRate
		}
	}
	return Links{Origin: originCopies * slowest, Machine: machineCopies * slowest, Region: slowest}
}

func (p planner) entry(i int) Node {
	zone := p.doc.Zones[i%len(p.doc.Zones)]
	return Node{
		VM: fleet.VM{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Role:    fleet.RoleEntry,
			Zone:    zone.Name,
			Region:  zone.Region,
			Address: p.address(groupEntry, i, portPeers),
			State:   fleet.StateLive,
		},
		Listed:  p.address(groupEntry, i, portPeers),
		Admin:   p.address(groupEntry, i, portAdmin),
		Callers: p.address(groupEntry, i, portCallers),
	}
}

// sides adds a side for each replica of the service.
func (p planner) sides(out []Node, s envdoc.Service) []Node {
	n := 0
	for _, replicas := range s.Replicas {
		for range replicas.Replicas {
			n++
			out = append(out, p.side(len(out), n, s, replicas.Zone))
		}
	}
	return out
}

func (p planner) side(i, n int, s envdoc.Service, zone string) Node {
	z, _ := p.doc.ZoneByName(zone)
	listed := p.address(groupSide, i, portPeers)
	if p.layout.Relay {
		listed = p.address(groupRelay, i, portPeers)
	}
	return Node{
		VM: fleet.VM{
			Name:    fmt.Sprintf("%s-%d", s.Name, n),
			Role:    fleet.RoleSide,
			Zone:    zone,
			Region:  z.Region,
			Service: s.Name,
			Address: p.address(groupSide, i, portPeers),
			State:   fleet.StateLive,
		},
		Listed:  listed,
		Admin:   p.address(groupSide, i, portAdmin),
		Target:  p.address(groupTarget, i, portTarget),
		Kind:    s.Kind,
		Fencing: s.Fencing,
		Model:   s.Model,
	}
}
