// Package demand adds up the demand of all entries for a service, which package level needs
// to share the service's engines among priorities.
//
// A few sides of the service are its collectors. Each entry tells them its rates and gets the
// sum over all entries in reply. Collectors and Exchange decide, at an entry, which sides
// these are, when they are asked and which reply counts; a Ledger holds what a collector
// knows. The package has no clock, network or goroutines: package loads sends the messages,
// and package hosted puts both together.
package demand

import (
	"net/netip"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/rank"
)

// maxCollectors is how many sides of a service are its collectors. While the list still shows
// one that has ended, and another one cannot be reached, the third one serves.
const maxCollectors = 3

// Collectors returns the addresses of the machines whose sides collect the demand for a
// service, given the targets of that service. They are in different zones as far as possible,
// so that the loss of a zone leaves some. Every process that has the same list finds the same.
func Collectors(service string, targets []facts.Target) []netip.Addr {
	ranked := rank.Order(service, eligible(targets), func(m machine) string { return m.addr.String() })
	var out []netip.Addr
	zones := map[string]bool{}
	for _, m := range ranked {
		if !zones[m.zone] && len(out) < maxCollectors {
			zones[m.zone] = true
			out = append(out, m.addr)
		}
	}
	chosen := map[netip.Addr]bool{}
	for _, a := range out {
		chosen[a] = true
	}
	for _, m := range ranked {
		if !chosen[m.addr] && len(out) < maxCollectors {
			out = append(out, m.addr)
		}
	}
	return out
}

// machine is a machine with a side.
type machine struct {
	addr netip.Addr
	zone string
}

// eligible returns the machines of targets that may stay, each once: several targets may be
// listed on one machine.
func eligible(targets []facts.Target) []machine {
	var out []machine
	seen := map[netip.Addr]bool{}
	for _, t := range targets {
		a := t.Address.Addr()
		if t.Leaving || t.Evacuated || seen[a] {
			continue
		}
		seen[a] = true
		out = append(out, machine{a, t.Zone})
	}
	return out
}
