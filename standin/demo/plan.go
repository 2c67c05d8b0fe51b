package demo

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
)

// The ports of a demonstration. Processes of one group have the same ports and
// different IP addresses.
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

// The third byte of the IP address of each group of processes.
const (
	groupPlatform = 0
	groupEntry    = 1
	groupSide     = 2
	groupTarget   = 3
	groupRelay    = 4
)

// maxGroupSize is the number of processes that a group may have.
const maxGroupSize = 60

// The rates of the origin's link and of a machine's link, as multiples of the rate
// of the slowest region link: the number of copies of a version that they carry
// in the time in which that link carries one.
const (
	machineCopies = 2
	originCopies  = 4
)

// Layout has the parameters of a plan: the second byte of all IP addresses,
// 127.Net.x.y; the number of entries, which are spread over the zones in turn;
// and whether the sides are reached through a relay.
type Layout struct {
	Net     int
	Entries int
	Relay   bool
}

// Check returns an error for the first field with an invalid value.
func (l Layout) Check() error {
	if l.Net < 0 || l.Net > 255 {
		return errors.Newf("net %d: want 0 to 255", l.Net)
	}
	if l.Entries < 1 || l.Entries > maxGroupSize {
		return errors.Newf("entries %d: want 1 to %d", l.Entries, maxGroupSize)
	}
	return nil
}

// Plan plans the fleet for the environment document at path.
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

// planner makes the parts of a Fleet.
type planner struct {
	doc    *envdoc.Document
	layout Layout
}

// address returns the address of the i-th process of a group.
func (p planner) address(group, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(p.layout.Net), byte(group), byte(i + 1)}), port)
}

// links returns the rates of all links, which follow from the slowest region
// link.
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

// sides appends a side for each replica of the service to out.
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

// side returns the side of the n-th replica of the service, counted from 1, which
// is the i-th side of the fleet, counted from 0.
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
