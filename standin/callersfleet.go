package main

import (
	"net/netip"
	"strings"

	"hawthornferry/standin/demo"
)

// demoVersions is the number of versions that a demonstration rolls out.
const demoVersions = 2

// applyFleet sets the flags of the addresses, the chat service and the manifests
// from the plan of a demonstration, if one is given.
func (v *callersFlags) applyFleet() error {
	if v.fleet == "" {
		return nil
	}
	p, err := demo.LoadFleet(v.fleet)
	if err != nil {
		return err
	}
	v.entries = joinAddresses(p.Entries, func(n demo.Node) netip.AddrPort { return n.Callers })
	v.replicas = joinAddresses(p.Plain(), func(n demo.Node) netip.AddrPort { return n.Target })
	v.chat = p.Engines()[0].VM.Service
	if v.direct {
		v.directEngine = joinAddresses(p.Engines(), func(n demo.Node) netip.AddrPort { return n.Target })
		v.directService = joinAddresses(p.Service(v.once), func(n demo.Node) netip.AddrPort { return n.Target })
	}
	var digests []string
	for number := 1; number <= demoVersions; number++ {
		made, err := demo.LoadVersion(v.fleet, number)
		if err != nil {
			return err
		}
		for _, d := range made.Manifests {
			digests = append(digests, string(d))
		}
	}
	v.manifests = strings.Join(digests, ",")
	return nil
}

// joinAddresses returns one address of each node as a comma-separated list.
func joinAddresses(nodes []demo.Node, addressOf func(demo.Node) netip.AddrPort) string {
	var out []string
	for _, n := range nodes {
		out = append(out, addressOf(n).String())
	}
	return strings.Join(out, ",")
}
