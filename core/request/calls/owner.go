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

// KeyID returns the ID of the call that a customer identified by an idempotency key.
// It is the same at every entry.
func KeyID(customer, service, key string) ID {
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + key))
	return ID("key-" + hex.EncodeToString(sum[:]))
}

// ErrNoOwner is returned when the owner of a key can't be determined at present.
var ErrNoOwner = errors.New("the owner of the key can not be told now")

// Owner returns the only side that may run the call with the given ID, and the
// members from which it was computed.
//
// Rendezvous hashing over the placement in the environment document selects a zone
// and an index in it. If the owner were chosen among the sides that seem to be alive,
// two entries that see different sides would choose different owners, and the call
// would run twice. The VM at the index is taken from the VM list, and only if the
// list has exactly as many VMs in the zone as the document places there.
func Owner(v view.View, service string, id ID) (fleet.VM, string, error) {
	if v.Document == nil {
		return fleet.VM{}, "", errors.Wrap(ErrNoOwner, "no document")
	}
	s, ok := v.Document.ServiceByName(service)
	if !ok {
		return fleet.VM{}, "", errors.Wrapf(ErrNoOwner, "no service %s", service)
	}
	slots := replicaSlots(s)
	if len(slots) == 0 {
		return fleet.VM{}, "", errors.Wrapf(ErrNoOwner, "service %s has no replicas", service)
	}
	slot := rank.Order(string(id), slots, replicaSlot.String)[0]
	vms := zoneVMs(v, service, slot.zone)
	if len(vms) != slot.total {
		return fleet.VM{}, "", errors.Wrapf(ErrNoOwner, "zone %s lists %d VMs, want %d", slot.zone, len(vms), slot.total)
	}
	return vms[slot.index], OwnerMembers(v, service, slot.zone), nil
}

// OwnerMembers encodes the document's placement and the VMs that are the owners of a
// service's keys in a zone. Processes agree on the owners only if their members are
// equal.
func OwnerMembers(v view.View, service, zone string) string {
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

// replicaSlot is one replica of the document's placement: the index-th of total
// replicas in a zone.
type replicaSlot struct {
	zone  string
	index int
	total int
}

func (s replicaSlot) String() string { return fmt.Sprintf("%s/%d", s.zone, s.index) }

func replicaSlots(s envdoc.Service) []replicaSlot {
	var out []replicaSlot
	for _, z := range s.Replicas {
		for n := range z.Replicas {
			out = append(out, replicaSlot{zone: z.Zone, index: n, total: z.Replicas})
		}
	}
	return out
}

// zoneVMs returns the VMs of the service's sides in a zone, sorted by name.
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
