package main

import (
	"net/netip"
	"strings"

	"hawthornferry/standin/demo"
)

// demoVersions is how many versions a demonstration rolls out.
const demoVersions = 2

// applyFleet sets the addresses and versions of a demonstration.
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

func joinAddresses(nodes []demo.Node, addressOf func(demo.Node) netip.AddrPort) string {
	var out []string
	for _, n := range nodes {
		out = append(out, addressOf(n).String())
	}
	return strings.Join(out, ",")
}
