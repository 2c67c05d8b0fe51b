package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"hawthornferry/core/process/fleet"
)

// The simulated fleet: three zones with one entry and enginesPerZone engines each.
// sameZoneDelay and crossZoneDelay are one-way network delays. Each entry calls its
// policy's tick every tickInterval.
const (
	zones          = 3
	enginesPerZone = 4
	engines        = zones * enginesPerZone
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 3 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
)

// epoch is the virtual time at which every run begins.
var epoch = time.Unix(1_700_000_000, 0)

// simulation runs events in the order of their virtual time.
type simulation struct {
	now        time.Time
	rand       *rand.Rand
	engines    []*engine
	entries    []*entry
	events     events
	eventCount int
}

// event is a function to be run at a virtual time. sequence orders events of the
// same time by when they were scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap with the earliest event first.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, newPolicy func(fleet.VM, *rand.Rand) policy) *simulation {
	s := &simulation{now: epoch, rand: rand.New(rand.NewPCG(seed, 1))}
	for z := range zones {
		vm := newVM("entry", fleet.RoleEntry, z, 0)
		p := newPolicy(vm, rand.New(rand.NewPCG(seed, uint64(z))))
		s.entries = append(s.entries, &entry{s: s, vm: vm, policy: p})
		for i := range enginesPerZone {
			s.engines = append(s.engines, &engine{s: s, vm: newVM("engine", fleet.RoleSide, z, i), stepFactor: 1})
		}
	}
	for _, n := range s.entries {
		n.start()
	}
	for i, e := range s.engines {
		s.after(time.Duration(i)*reportInterval/engines, e.report)
	}
	return s
}

func newVM(kind string, role fleet.Role, zone, i int) fleet.VM {
	return fleet.VM{
		Name:    fmt.Sprintf("%s-%d-%d", kind, zone, i),
		Role:    role,
		Zone:    fmt.Sprintf("zone-%d", zone),
		Region:  "region",
		Service: "helper",
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		State:   fleet.StateLive,
	}
}

// after schedules f to run when d has passed.
func (s *simulation) after(d time.Duration, f func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.eventCount, run: f})
}

// run runs the events up to the virtual time end.
func (s *simulation) run(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// delay returns the one-way network delay between an entry and an engine.
func (s *simulation) delay(n *entry, e *engine) time.Duration {
	if n.vm.Zone == e.vm.Zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (s *simulation) engineByName(name string) *engine {
	for _, e := range s.engines {
		if e.vm.Name == name {
			return e
		}
	}
	return nil
}
