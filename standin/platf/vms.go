package platf

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/standin/serve"
)

// Limits of the VM list: the VMs that it shows and the changes that it doesn't
// show yet.
const (
	maxVMs     = 100_000
	maxPending = 100_000
)

// ListFaults are the faults that the VM list injects. Down makes every read fail
// with status 503. Lag, when above zero, replaces the Lag of the VMList.
type ListFaults struct {
	Down bool           `json:"down"`
	Lag  serve.Duration `json:"lag"`
}

// VMList is the VM list. It shows a change only after Lag. Set the exported fields
// before calling Handler.
type VMList struct {
	Lag   time.Duration
	Clock clockwork.Clock

	faults serve.Observable[ListFaults]

	mu      sync.Mutex
	shown   map[string]fleet.VM
	pending []change
}

// change is a VM's new entry, or its removal when vm is nil. The list shows it
// from due on.
type change struct {
	due  time.Time
	name string
	vm   *fleet.VM
}

// Handler returns the handler of the list and of the control calls that add and
// remove VMs and set the faults.
func (v *VMList) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", v.handleList).Methods(http.MethodGet)
	r.HandleFunc("/control/vms/{name}", v.handlePut).Methods(http.MethodPut)
	r.HandleFunc("/control/vms/{name}", v.handleRemove).Methods(http.MethodDelete)
	r.HandleFunc("/control/faults", v.setFaults).Methods(http.MethodPost)
	return r
}

func (v *VMList) handleList(w http.ResponseWriter, _ *http.Request) {
	if f, _ := v.faults.Get(); f.Down {
		serve.WriteProblem(w, http.StatusServiceUnavailable, "down")
		return
	}
	serve.WriteJSON(w, http.StatusOK, v.applyDue())
}

// applyDue applies the changes that are due and returns the VMs that are shown,
// sorted by name.
func (v *VMList) applyDue() []fleet.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	v.pending = slices.DeleteFunc(v.pending, func(c change) bool { return v.apply(c, now) })
	out := slices.Collect(maps.Values(v.shown))
	slices.SortFunc(out, func(a, b fleet.VM) int { return cmp.Compare(a.Name, b.Name) })
	return append([]fleet.VM{}, out...)
}

// apply carries out the change and returns true if it is due. A new VM beyond
// maxVMs is dropped.
func (v *VMList) apply(c change, now time.Time) bool {
	if c.due.After(now) {
		return false
	}
	if v.shown == nil {
		v.shown = map[string]fleet.VM{}
	}
	delete(v.shown, c.name)
	if c.vm != nil && len(v.shown) < maxVMs {
		v.shown[c.name] = *c.vm
	}
	return true
}

func (v *VMList) handlePut(w http.ResponseWriter, r *http.Request) {
	vm, err := serve.DecodeJSON[fleet.VM](w, r)
	if err == nil {
		vm.Name = mux.Vars(r)["name"]
		err = vm.Check()
	}
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	v.schedule(w, change{name: vm.Name, vm: &vm})
}

func (v *VMList) handleRemove(w http.ResponseWriter, r *http.Request) {
	v.schedule(w, change{name: mux.Vars(r)["name"]})
}

// schedule queues the change until the lag has passed and writes the response.
func (v *VMList) schedule(w http.ResponseWriter, c change) {
	faults, _ := v.faults.Get()
	lag := cmp.Or(time.Duration(faults.Lag), v.Lag)
	v.applyDue()
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.pending) >= maxPending {
		serve.WriteProblem(w, http.StatusInsufficientStorage, "too many changes")
		return
	}
	c.due = v.Clock.Now().Add(lag)
	v.pending = append(v.pending, c)
	w.WriteHeader(http.StatusNoContent)
}

func (v *VMList) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := serve.DecodeJSON[ListFaults](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	v.faults.Set(f)
	w.WriteHeader(http.StatusNoContent)
}
