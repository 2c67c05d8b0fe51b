package calls

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
	"hawthornferry/core/process/view"
)

// KeyID returns the ID of the call that a customer named by an idempotency
// key. The same key of the same customer is the same call at every entry.
func KeyID(customer, service, key string) ID {
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + key))
	return ID("key-" + hex.EncodeToString(sum[:]))
}

// ErrNoOwner is returned while a key's owner can not be told.
var ErrNoOwner = errors.New("the owner of the key can not be told now")

// Owner returns the side that alone may run the call with the ID, and the
// members that this was computed from.
//
// The document fixes the place: a zone and a number in it, by rendezvous over
// the placement. Were the owner picked from who seems alive, two entries that
// see different sides would pick two owners, and the call would run twice.
// The VM that holds the place is read from the VM list, and only when it
// lists exactly the placed number of VMs.
func Owner(v view.View, service string, id ID) (fleet.VM, string, error) {
	if v.Document == nil {
		return fleet.VM{}, "", errors.Wrap(ErrNoOwner, "no document")
	}
	s, ok := v.Document.ServiceByName(service)
	if !ok {
		return fleet.VM{}, "", errors.Wrapf(ErrNoOwner, "no service %s", service)
	}
	places := placesOf(s)
	if len(places) == 0 {
		return fleet.VM{}, "", errors.Wrapf(ErrNoOwner, "service %s has no replicas", service)
	}
	p := rank.Order(string(id), places, place.String)[0]
	vms := zoneVMs(v, service, p.zone)
	if len(vms) != p.of {
		return fleet.VM{}, "", errors.Wrapf(ErrNoOwner, "zone %s lists %d VMs, want %d", p.zone, len(vms), p.of)
	}
	return vms[p.number], Members(v, service, p.zone), nil
}

// Members names the VMs among which the keys of a service have their owners
// in a zone, together with the document's placement. Sides and entries with
// different members do not agree on owners.
func Members(v view.View, service, zone string) string {
	if v.Document == nil {
		return ""
	}
	s, ok := v.Document.ServiceByName(service)
	if !ok {
		return ""
	}
	var b strings.Builder
	for _, p := range s.Replicas {
		fmt.Fprintf(&b, "%s=%d;", p.Zone, p.Replicas)
	}
	for _, vm := range zoneVMs(v, service, zone) {
		fmt.Fprintf(&b, "%s@%s;", vm.Name, vm.Address)
	}
	return b.String()
}

// place is one replica of the document's placement.
type place struct {
	zone   string
	number int
	of     int
}

func (p place) String() string { return fmt.Sprintf("%s/%d", p.zone, p.number) }

func placesOf(s envdoc.Service) []place {
	var out []place
	for _, z := range s.Replicas {
		for n := range z.Replicas {
			out = append(out, place{zone: z.Zone, number: n, of: z.Replicas})
		}
	}
	return out
}

func zoneVMs(v view.View, service, zone string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range v.VMs {
		if vm.Role == fleet.RoleSide && vm.Service == service && vm.Zone == zone {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b fleet.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}
