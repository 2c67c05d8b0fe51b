//go:build !race

package naming

import (
	"encoding/binary"
	"slices"
	"time"
)

// watch is a call of the store that is under way. Done is set once it is answered,
// with what the store held then.
type watch struct {
	Call
	after   uint64
	list    bool
	done    bool
	brought uint64
}

// question is one to a peer, or its reply once answered is set.
type question struct {
	from, to int
	asked    time.Duration
	after    uint64
	waited   bool
	answered bool
	told     []Statement
	at       uint64
	age      time.Duration
	known    bool
}

type process struct {
	Contact
	Ledger
	watch  *watch
	frozen bool
	cut    bool
	// dark is set while the process reaches its peers, but not the store.
	dark bool
	// traps is set when the process stands still once it has composed a reply.
	traps bool
	// stalls is set when it stands still once it has begun a call of the store.
	stalls bool
	// lost is set when the store has dropped the history after its revision.
	lost bool
	// woke is when the last standstill ended; disturbed when the last disturbance did.
	woke      time.Duration
	disturbed time.Duration
	// asked is how often peers were asked, round when they last were.
	asked  int
	round  time.Duration
	teller int
}

func (p *process) runs() bool { return !p.frozen }

// fleet is one state of the model.
type fleet struct {
	now       time.Duration
	named     []time.Duration
	processes [processes]process
	questions []question
	freezes   int
	cuts      int
	restarts  int
	losses    int
	traps     int
	darks     int
	stalls    int
	// views are the contacts of all processes on the way to this state.
	views []view
	// broken is the rule that a request broke on the way to this state.
	broken error
}

// view is what requests see of a fleet at one moment.
type view struct {
	now      time.Duration
	contacts [processes]Contact
}

func (m model) look(s *fleet) {
	if !m.looks {
		return
	}
	v := view{now: s.now}
	for i := range s.processes {
		v.contacts[i] = s.processes[i].Contact
	}
	if n := len(s.views); n == 0 || s.views[n-1] != v {
		s.views = append(s.views, v)
	}
}

func (s *fleet) store() uint64 { return uint64(len(s.named)) }

func (s *fleet) clone() *fleet {
	c := *s
	c.named = slices.Clone(s.named)
	c.questions = slices.Clone(s.questions)
	for i := range c.processes {
		p := &c.processes[i]
		p.entries = slices.Clone(p.entries)
		if p.watch != nil {
			w := *p.watch
			p.watch = &w
		}
	}
	return &c
}

// writer appends the parts of a key.
type writer []byte

func (w *writer) num(n int64)          { *w = binary.AppendVarint(*w, n) }
func (w *writer) time(d time.Duration) { w.num(int64(d)) }
func (w *writer) version(v uint64)     { w.num(int64(v)) }
func (w *writer) flag(bs ...bool) {
	n := int64(1)
	for _, b := range bs {
		n <<= 1
		if b {
			n |= 1
		}
	}
	w.num(n)
}

func (s *fleet) key() string {
	w := make(writer, 0, 512)
	w.time(s.now - time.Hour)
	w.flag(s.broken != nil)
	for _, n := range []int{s.freezes, s.cuts, s.restarts, s.losses, s.traps, s.darks, s.stalls, len(s.named)} {
		w.num(int64(n))
	}
	for _, t := range s.named {
		w.time(s.now - t)
	}
	for i := range s.processes {
		s.write(&w, i)
	}
	for _, q := range s.questions {
		w.num(int64(q.from*processes + q.to))
		w.flag(q.waited, q.answered, q.known)
		w.time(s.now - q.asked)
		w.time(q.age)
		w.version(q.after)
		w.version(q.at)
		w.num(int64(len(q.told)))
		for _, t := range q.told {
			w.version(t.Version)
			w.time(t.Age)
			w.flag(t.Heard)
		}
	}
	return string(w)
}

func (s *fleet) write(w *writer, i int) {
	p := &s.processes[i]
	w.flag(p.Known, p.frozen, p.cut, p.dark, p.traps, p.stalls, p.lost, p.round == s.now, p.watch != nil)
	w.version(p.Revision)
	w.time(s.now - p.Confirmed)
	w.time(s.now - p.Answered)
	if s.remembersStandstill(i) {
		w.time(s.now - p.woke)
	}
	w.time(min(s.now-p.disturbed, calm))
	w.num(int64(p.asked*readers + p.teller))
	w.num(int64(len(p.entries)))
	for _, e := range p.entries {
		w.version(e.Version)
		w.time(s.now - e.Since)
		w.flag(e.Heard)
	}
	if c := p.watch; c != nil {
		w.flag(c.list, c.done)
		w.time(s.now - c.Asked)
		w.time(c.Wait)
		w.version(c.after)
		w.version(c.brought)
	}
}

// remembersStandstill reports whether the last standstill of a process bears on what
// it will take in.
func (s *fleet) remembersStandstill(i int) bool {
	p := &s.processes[i]
	for _, q := range s.questions {
		if q.from == i && q.waited && q.asked < p.woke {
			return true
		}
	}
	return p.Answered < p.woke || p.watch != nil && p.watch.Asked < p.woke
}
