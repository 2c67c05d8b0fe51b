//go:build !race

package verlog

import (
	"encoding/binary"
	"slices"
	"time"
)

// watch is a watch or list request to the store. done is set once the store has
// answered, with newest being its newest version then.
type watch struct {
	StoreCall
	after  uint64
	list   bool
	done   bool
	newest uint64
}

// question is a question to a peer, and its reply once answered is set.
type question struct {
	from, to   int
	asked      time.Duration
	after      uint64
	longPoll   bool
	answered   bool
	statements []VersionReport
	revision   uint64
	age        time.Duration
	known      bool
}

// process is one process of the model: the code under test and what disturbs it.
type process struct {
	Contact
	Log
	watch       *watch
	paused      bool
	partitioned bool
	// storeUnreachable is set while the process reaches its peers but not the
	// store.
	storeUnreachable bool
	// pausesAfterReply is set when the process is to be paused once it has
	// composed its next reply.
	pausesAfterReply bool
	// pausesAfterCall is set when it is to be paused once it has sent its next
	// request to the store.
	pausesAfterCall bool
	// historyLost is set when the store no longer has the history after the
	// process's revision, so that it has to list instead of watch.
	historyLost bool
	// resumed is when the last pause ended; disturbed is when the last
	// disturbance of any kind did.
	resumed   time.Duration
	disturbed time.Duration
	// asked counts how often peers were asked about the newest version;
	// lastRound is when they last were. followedPeer is the reader to follow first.
	asked        int
	lastRound    time.Duration
	followedPeer int
}

func (p *process) runs() bool { return !p.paused }

// modelState is one state of the model.
type modelState struct {
	now           time.Duration
	announced     []time.Duration
	processes     [processes]process
	questions     []question
	pauses        int
	partitions    int
	restarts      int
	historyLosses int
	replyPauses   int
	storeOutages  int
	callPauses    int
	// views are the contacts of all processes at the steps that led to this
	// state.
	views []view
	// violation is the rule that a request broke on the way to this state.
	violation error
}

// view is what requests see of all processes at one time.
type view struct {
	now      time.Duration
	contacts [processes]Contact
}

func (m model) recordView(s *modelState) {
	if !m.recordsViews {
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

func (s *modelState) storeVersion() uint64 { return uint64(len(s.announced)) }

func (s *modelState) clone() *modelState {
	c := *s
	c.announced = slices.Clone(s.announced)
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

// keyWriter encodes a state's key.
type keyWriter []byte

func (w *keyWriter) num(n int64)          { *w = binary.AppendVarint(*w, n) }
func (w *keyWriter) time(d time.Duration) { w.num(int64(d)) }
func (w *keyWriter) version(v uint64)     { w.num(int64(v)) }
func (w *keyWriter) flag(bs ...bool) {
	n := int64(1)
	for _, b := range bs {
		n <<= 1
		if b {
			n |= 1
		}
	}
	w.num(n)
}

func (s *modelState) key() string {
	w := make(keyWriter, 0, 512)
	w.time(s.now - time.Hour)
	w.flag(s.violation != nil)
	for _, n := range []int{s.pauses, s.partitions, s.restarts, s.historyLosses, s.replyPauses, s.storeOutages, s.callPauses, len(s.announced)} {
		w.num(int64(n))
	}
	for _, t := range s.announced {
		w.time(s.now - t)
	}
	for i := range s.processes {
		s.writeProcess(&w, i)
	}
	for _, q := range s.questions {
		w.num(int64(q.from*processes + q.to))
		w.flag(q.longPoll, q.answered, q.known)
		w.time(s.now - q.asked)
		w.time(q.age)
		w.version(q.after)
		w.version(q.revision)
		w.num(int64(len(q.statements)))
		for _, t := range q.statements {
			w.version(t.Version)
			w.time(t.Age)
			w.flag(t.Exact)
		}
	}
	return string(w)
}

func (s *modelState) writeProcess(w *keyWriter, i int) {
	p := &s.processes[i]
	w.flag(p.Known, p.paused, p.partitioned, p.storeUnreachable, p.pausesAfterReply, p.pausesAfterCall, p.historyLost, p.lastRound == s.now, p.watch != nil)
	w.version(p.Revision)
	w.time(s.now - p.Confirmed)
	w.time(s.now - p.Answered)
	if s.pauseAffectsPending(i) {
		w.time(s.now - p.resumed)
	}
	w.time(min(s.now-p.disturbed, settleTime))
	w.num(int64(p.asked*storeReaders + p.followedPeer))
	w.num(int64(len(p.entries)))
	for _, e := range p.entries {
		w.version(e.Version)
		w.time(s.now - e.Since)
		w.flag(e.Exact)
	}
	if c := p.watch; c != nil {
		w.flag(c.list, c.done)
		w.time(s.now - c.Asked)
		w.time(c.Wait)
		w.version(c.after)
		w.version(c.newest)
	}
}

// pauseAffectsPending reports whether the last pause of a process affects how
// it handles answers that are still pending.
func (s *modelState) pauseAffectsPending(i int) bool {
	p := &s.processes[i]
	for _, q := range s.questions {
		if q.from == i && q.longPoll && q.asked < p.resumed {
			return true
		}
	}
	return p.Answered < p.resumed || p.watch != nil && p.watch.Asked < p.resumed
}
