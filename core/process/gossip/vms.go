package gossip

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
)

// requiredAnswers is how many consecutive answers must repeat a doubtful change
// before it is accepted.
const requiredAnswers = 3

// Observer turns answers of the platform's VM list into versioned states. It
// must be used from a single goroutine.
type Observer struct {
	// smallAnswers counts consecutive answers with fewer than half as many VMs
	// as the state held.
	smallAnswers int
	// liveAnswers counts, for each VM held as leaving, the consecutive answers
	// that say it is live.
	liveAnswers map[string]int
	decoder     VMDecoder
}

// Observe returns the state that follows held when the platform answers with
// vms. The result is false if nothing changes. An empty answer is not accepted
// as the first version: it only shows that the list does not include this
// process yet.
//
// A VM list service that has just restarted answers with few VMs or none.
// Accepting that at once would leave every entry without targets, so more than
// half of the VMs must be missing from three consecutive answers. A VM that is
// leaving stays so until it is gone from the list or is live in three
// consecutive answers: readers see the list with different lags, and one older
// answer would otherwise send new work to a VM that is about to stop.
func (o *Observer) Observe(held State, vms []fleet.VM) (State, bool, error) {
	if len(vms) == 0 && held.Mark.Version == 0 {
		return State{}, false, nil
	}
	if len(vms)*2 < len(held.Items) && o.smallAnswers+1 < requiredAnswers {
		o.smallAnswers++
		return State{}, false, nil
	}
	o.smallAnswers = 0
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
	return next, next.Mark.Digest != held.Mark.Digest, nil
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
		old, wasLeaving := leaving[v.Name]
		if wasLeaving && old.Address == v.Address && v.State == fleet.StateLive {
			revived[v.Name] = o.liveAnswers[v.Name] + 1
		}
		if n := revived[v.Name]; n > 0 && n < requiredAnswers {
			v.State = fleet.StateLeaving
		}
		out = append(out, v)
	}
	o.liveAnswers = revived
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

// VMDecoder decodes states of the VM list. It caches what it decoded, so that a
// change of one VM in a list of thousands costs decoding one. It must be used
// from a single goroutine.
type VMDecoder struct {
	cache map[string]cachedVM
}

type cachedVM struct {
	digest Digest
	vm     fleet.VM
}

// Decode returns the validated VMs of a state, sorted by name.
func (d *VMDecoder) Decode(s State) ([]fleet.VM, error) {
	known := make(map[string]cachedVM, len(s.Items))
	vms := make([]fleet.VM, 0, len(s.Items))
	for _, it := range s.Items {
		k, ok := d.cache[it.Name]
		if !ok || k.digest != it.digest {
			vm, err := decodeVM(it)
			if err != nil {
				return nil, err
			}
			k = cachedVM{digest: it.digest, vm: vm}
		}
		known[it.Name] = k
		vms = append(vms, k.vm)
	}
	d.cache = known
	return vms, nil
}

func decodeVM(it Item) (fleet.VM, error) {
	var v fleet.VM
	if err := json.Unmarshal(it.Body, &v); err != nil {
		return v, errors.Wrapf(err, "decode VM %s", it.Name)
	}
	if v.Name != it.Name {
		return v, errors.Newf("VM %s is stored under the name %s", v.Name, it.Name)
	}
	return v, v.Check()
}
