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
)

// The third number of the IP of each group of processes.
const (
	groupPlatform = 0
	groupEntry    = 1
	groupSide     = 2
	groupTarget   = 3
)

// maxGroup bounds a group of processes.
const maxGroup = 60

// The origin's link carries four copies, and a machine's link two, in the
// time in which a thin region link carries one.
const (
	machineCopies = 2
	originCopies  = 4
)

// Plan lays out the fleet of the document at path, with entries in turn over
// the zones. net is the second number of its IP numbers, 127.net.x.y.
func Plan(path string, net, entries int) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	doc, err := envdoc.Parse(path, 1, text)
	if err != nil {
		return nil, err
	}
	if net < 0 || net > 255 || entries < 1 || entries > maxGroup {
		return nil, errors.Newf("net %d, entries %d: want 0 to 255 and 1 to %d", net, entries, maxGroup)
	}
	p := planner{doc: doc, net: byte(net)}
	f := &Fleet{
		Environment: doc.Name,
		Document:    path,
		Config:      p.address(groupPlatform, 0, portConfig),
		VMList:      p.address(groupPlatform, 0, portVMList),
		Store:       p.address(groupPlatform, 1, portStore),
		Origin:      p.address(groupPlatform, 1, portOrigin),
	}
	f.Links = p.links()
	for i := range entries {
		f.Entries = append(f.Entries, p.entry(i))
	}
	for _, s := range doc.Services {
		f.Sides = p.sides(f.Sides, s)
	}
	if len(f.Sides) > maxGroup {
		return nil, errors.Newf("%s: %d replicas, want at most %d", path, len(f.Sides), maxGroup)
	}
	return f, nil
}

type planner struct {
	doc *envdoc.Document
	net byte
}

func (p planner) address(group, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.net, byte(group), byte(i + 1)}), port)
}

// links sets all links by the thinnest region link.
func (p planner) links() Links {
	var thin int64
	for _, r := range p.doc.Regions {
		if thin == 0 || r.Link < thin {
			thin = r.Link
		}
	}
	return Links{Origin: originCopies * thin, Machine: machineCopies * thin, Region: thin}
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
		Admin:   p.address(groupEntry, i, portAdmin),
		Callers: p.address(groupEntry, i, portCallers),
	}
}

// sides adds a side for each replica of the service.
func (p planner) sides(out []Node, s envdoc.Service) []Node {
	n := 0
	for _, place := range s.Replicas {
		for range place.Replicas {
			n++
			out = append(out, p.side(len(out), n, s, place.Zone))
		}
	}
	return out
}

func (p planner) side(i, n int, s envdoc.Service, zone string) Node {
	z, _ := p.doc.ZoneByName(zone)
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
		Admin:   p.address(groupSide, i, portAdmin),
		Target:  p.address(groupTarget, i, portTarget),
		Kind:    s.Kind,
		Fencing: s.Fencing,
		Model:   s.Model,
	}
}
