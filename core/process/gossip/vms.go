package gossip

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
)

// confirmations is how many answers in a row must say what is doubted before
// it is believed.
const confirmations = 3

// Observer turns answers of the platform's VM list into versions of it. It
// is for one goroutine.
type Observer struct {
	// shrunk counts answers in a row that lack more than half of the VMs.
	shrunk int
	// revived counts, for each VM held as leaving, answers in a row by which
	// it is live.
	revived map[string]int
	decoder VMs
}

// Observe returns the state that follows held when the platform answers with
// vms, and false when nothing is to change. An empty answer is no first
// version: it says only that the list lags behind this very process.
//
// A list that has just restarted answers with few VMs or none. Believed at
// once, it would take every target from every entry; it must lack them three
// times running. A VM that was leaving stays so until it has left the list
// or is live three times running: readers see the list with different lags,
// and one older answer would otherwise send new work to a VM about to go.
func (o *Observer) Observe(held State, vms []fleet.VM) (State, bool, error) {
	if len(vms) == 0 && held.Mark.Version == 0 {
		return State{}, false, nil
	}
	if len(vms)*2 < len(held.Items) && o.shrunk+1 < confirmations {
		o.shrunk++
		return State{}, false, nil
	}
	o.shrunk = 0
	known, err := o.decoder.Decode(held)
	if err != nil {
		return State{}, false, err
	}
	items, err := encodeVMs(o.keepLeaving(known, vms))
	if err != nil {
		return State{}, false, err
	}
	next, err := NewState(held.Mark.Version+1, items)
	if err != nil {
		return State{}, false, err
	}
	return next, next.Mark.Sum != held.Mark.Sum, nil
}

func (o *Observer) keepLeaving(known, vms []fleet.VM) []fleet.VM {
	leaving := map[string]fleet.VM{}
	for _, v := range known {
		if v.State == fleet.StateLeaving {
			leaving[v.Name] = v
		}
	}
	revived := map[string]int{}
	out := make([]fleet.VM, 0, len(vms))
	for _, v := range vms {
		old, doubted := leaving[v.Name]
		if doubted && old.Address == v.Address && v.State == fleet.StateLive {
			revived[v.Name] = o.revived[v.Name] + 1
		}
		if n := revived[v.Name]; n > 0 && n < confirmations {
			v.State = fleet.StateLeaving
		}
		out = append(out, v)
	}
	o.revived = revived
	return out
}

func encodeVMs(vms []fleet.VM) ([]Item, error) {
	items := make([]Item, 0, len(vms))
	for _, v := range vms {
		if err := v.Check(); err != nil {
			return nil, err
		}
		b, err := json.Marshal(v)
		if err != nil {
			return nil, errors.Wrapf(err, "encode VM %s", v.Name)
		}
		items = append(items, NewItem(v.Name, b))
	}
	return items, nil
}

// VMs decodes states of the VM list. It keeps what it has decoded, so that a
// list of thousands of which one has changed costs the decoding of one. It is
// for one goroutine.
type VMs struct {
	known map[string]knownVM
}

type knownVM struct {
	sum Sum
	vm  fleet.VM
}

// Decode returns the checked VMs of a state, sorted by name.
func (d *VMs) Decode(s State) ([]fleet.VM, error) {
	known := make(map[string]knownVM, len(s.Items))
	vms := make([]fleet.VM, 0, len(s.Items))
	for _, it := range s.Items {
		k, ok := d.known[it.Name]
		if !ok || k.sum != it.sum {
			vm, err := decodeVM(it)
			if err != nil {
				return nil, err
			}
			k = knownVM{sum: it.sum, vm: vm}
		}
		known[it.Name] = k
		vms = append(vms, k.vm)
	}
	d.known = known
	return vms, nil
}

func decodeVM(it Item) (fleet.VM, error) {
	var v fleet.VM
	if err := json.Unmarshal(it.Body, &v); err != nil {
		return v, errors.Wrapf(err, "decode VM %s", it.Name)
	}
	if v.Name != it.Name {
		return v, errors.Newf("VM %s stands under the name %s", v.Name, it.Name)
	}
	return v, v.Check()
}
