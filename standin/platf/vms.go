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
func (l *VMList) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", l.handleList).Methods(http.MethodGet)
	r.HandleFunc("/control/vms/{name}", l.handlePut).Methods(http.MethodPut)
	r.HandleFunc("/control/vms/{name}", l.handleRemove).Methods(http.MethodDelete)
	r.HandleFunc("/control/faults", l.setFaults).Methods(http.MethodPost)
	return r
}

func (l *VMList) handleList(w http.ResponseWriter, _ *http.Request) {
	if f, _ := l.faults.Get(); f.Down {
		serve.WriteProblem(w, http.StatusServiceUnavailable, "down")
		return
	}
	serve.WriteJSON(w, http.StatusOK, l.applyDue())
}

// applyDue applies the changes that are due and returns the VMs that are shown,
// sorted by name.
func (l *VMList) applyDue() []fleet.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.pending = slices.DeleteFunc(l.pending, func(c change) bool { return l.apply(c, now) })
	out := slices.Collect(maps.Values(l.shown))
	slices.SortFunc(out, func(a, b fleet.VM) int { return cmp.Compare(a.Name, b.Name) })
	return append([]fleet.VM{}, out...)
}

// apply carries out the change and returns true if it is due. A new VM beyond
// maxVMs is dropped.
func (l *VMList) apply(c change, now time.Time) bool {
	if c.due.After(now) {
		return false
	}
	if l.shown == nil {
		l.shown = map[string]fleet.VM{}
	}
	delete(l.shown, c.name)
	if c.vm != nil && len(l.shown) < maxVMs {
		l.shown[c.name] = *c.vm
	}
	return true
}

func (l *VMList) handlePut(w http.ResponseWriter, r *http.Request) {
	vm, err := serve.DecodeJSON[fleet.VM](w, r)
	if err == nil {
		vm.Name = mux.Vars(r)["name"]
		err = vm.Check()
	}
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	l.schedule(w, change{name: vm.Name, vm: &vm})
}

func (l *VMList) handleRemove(w http.ResponseWriter, r *http.Request) {
	l.schedule(w, change{name: mux.Vars(r)["name"]})
}

// schedule queues the change until the lag has passed and writes the response.
func (l *VMList) schedule(w http.ResponseWriter, c change) {
	faults, _ := l.faults.Get()
	lag := cmp.Or(time.Duration(faults.Lag), l.Lag)
	l.applyDue()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxPending {
		serve.WriteProblem(w, http.StatusInsufficientStorage, "too many changes")
		return
	}
	c.due = l.Clock.Now().Add(lag)
	l.pending = append(l.pending, c)
	w.WriteHeader(http.StatusNoContent)
}

func (l *VMList) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := serve.DecodeJSON[ListFaults](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	l.faults.Set(f)
	w.WriteHeader(http.StatusNoContent)
}
