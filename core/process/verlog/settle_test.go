//go:build !race

package verlog

import (
	"slices"
	"time"
)

// settle runs all steps that take no time until nothing changes any more.
func (m model) settle(s *modelState) {
	for again := true; again; {
		again = false
		for i := range s.processes {
			again = m.readStore(s, i) || again
			m.recordView(s)
			again = m.followPeer(s, i) || again
			again = m.askPeers(s, i) || again
		}
		again = m.answerQuestions(s) || again
		again = m.deliverReplies(s) || again
		m.recordView(s)
	}
}

// ranSince returns the process's own detection of pauses.
func (m model) ranSince(p *process) RanSince {
	return func(since time.Duration) bool { return m.disabled == pauseDetection || p.resumed <= since }
}

// readStore performs one step of a process's request to the store: sends it,
// lets the store answer, or handles the answer.
func (m model) readStore(s *modelState, i int) bool {
	p := &s.processes[i]
	w := p.watch
	switch {
	case w == nil:
		if !p.runs() || p.partitioned || p.storeUnreachable || i >= storeReaders && s.followedPeer(i) >= 0 {
			return false
		}
		p.watch = m.newWatch(s, p)
		return true
	case !w.done:
		over := s.now-w.Asked >= w.Wait-w.Wait%tick
		if p.partitioned || p.storeUnreachable || !w.list && s.storeVersion() <= w.after && !over {
			return false
		}
		w.done, w.newest = true, s.storeVersion()
		return true
	case p.runs():
		p.watch = nil
		w.Got = s.now
		m.applyAnswer(s, p, w)
		return true
	}
	return false
}

func (m model) newWatch(s *modelState, p *process) *watch {
	w := &watch{StoreCall: StoreCall{Asked: s.now}, after: p.Revision, list: !p.Known || p.historyLost}
	if !w.list {
		w.Wait = m.effectiveContact(p, s.now).WatchWait(s.now, tick)
	}
	p.historyLost = false
	if p.pausesAfterCall {
		p.pausesAfterCall, p.paused, p.disturbed = false, true, s.now
	}
	return w
}

// effectiveContact returns the contact of a process as its decisions use it,
// which differs when liveGapCheck is disabled.
func (m model) effectiveContact(p *process, asked time.Duration) Contact {
	c := p.Contact
	if m.disabled == liveGapCheck {
		c.Answered = max(c.Answered, asked)
	}
	return c
}

func (m model) applyAnswer(s *modelState, p *process, w *watch) {
	if w.newest < p.Revision {
		return
	}
	var live OptionalTime
	if !w.list {
		live = m.effectiveContact(p, w.Asked).ChangesMadeAt(w.StoreCall, m.ranSince(p))
	}
	if m.disabled == unreadAnswerGap {
		p.Answered = w.Got
	} else {
		p.RecordAnswer(w.StoreCall, m.ranSince(p))
	}
	if w.newest > p.Revision {
		m.readVersion(s, p, w.newest, live)
	}
	if m.disabled == confirmedWhenAsked {
		w.Asked = w.Got
	}
	p.Confirm(w.Asked, w.newest)
}

// readVersion records the version at a revision. Revision and version are the
// same number here, and the store holds only that version then.
func (m model) readVersion(s *modelState, p *process, version uint64, live OptionalTime) {
	e := p.EntryFor("m", version, live, s.now)
	if m.disabled == lowerBoundWhenLate && p.Known && !live.Known {
		e.Since = s.now
	}
	p.Add(e)
	p.asked = 0
}

// followedPeer returns the process from which process i gets the store's state,
// or -1 if it has to read the store itself.
func (s *modelState) followedPeer(i int) int {
	for _, q := range s.questions {
		if q.from == i && q.longPoll {
			return q.to
		}
	}
	p := &s.processes[i]
	for n := range storeReaders {
		to := (p.followedPeer + n) % storeReaders
		if r := &s.processes[to]; !r.partitioned && !r.paused && !p.partitioned {
			return to
		}
	}
	return -1
}

// followPeer keeps a long poll open at a peer, and moves on from one that is
// silent for followTimeout.
func (m model) followPeer(s *modelState, i int) bool {
	p := &s.processes[i]
	if i < storeReaders || !p.runs() || p.partitioned || p.watch != nil {
		return false
	}
	at := slices.IndexFunc(s.questions, func(q question) bool { return q.from == i && q.longPoll })
	if at >= 0 {
		q := s.questions[at]
		if q.answered && !s.processes[q.to].paused || s.now-q.asked < followTimeout {
			return false
		}
		s.questions = slices.Delete(s.questions, at, at+1)
		p.followedPeer = (q.to + 1) % storeReaders
		return true
	}
	to := s.followedPeer(i)
	if to < 0 {
		return false
	}
	p.followedPeer = to
	s.questions = append(s.questions, question{from: i, to: to, asked: s.now, after: p.Revision, longPoll: true})
	return true
}

// askPeers asks all reachable peers about the newest version, at most once per
// tick.
func (m model) askPeers(s *modelState, i int) bool {
	p := &s.processes[i]
	if !p.runs() || p.partitioned || p.lastRound == s.now || !p.ShouldAsk(p.asked) {
		return false
	}
	p.asked++
	p.lastRound = s.now
	for to := range s.processes {
		if to != i && !s.processes[to].partitioned {
			s.questions = append(s.questions, question{from: i, to: to, asked: s.now, after: p.Revision})
		}
	}
	return true
}

// answerQuestions lets one process reply to a question.
func (m model) answerQuestions(s *modelState) bool {
	for n := range s.questions {
		q := &s.questions[n]
		p := &s.processes[q.to]
		over := !q.longPoll || s.now-q.asked >= tick
		if q.answered || !p.runs() || p.Revision <= q.after && !over {
			continue
		}
		q.answered, q.known, q.revision, q.age = true, p.Known, p.Revision, s.now-p.Confirmed
		q.statements = p.VersionReports(s.now)
		if m.disabled == replacedVersionsSent && len(q.statements) > 0 {
			q.statements = q.statements[len(q.statements)-1:]
		}
		if p.pausesAfterReply {
			p.pausesAfterReply, p.paused, p.disturbed = false, true, s.now
		}
		return true
	}
	return false
}

// deliverReplies delivers one reply whose sender and receiver are running. A
// question that is not a long poll is given up after a tick.
func (m model) deliverReplies(s *modelState) bool {
	for n, q := range s.questions {
		p := &s.processes[q.from]
		if !p.runs() {
			continue
		}
		if !q.longPoll && s.now-q.asked > tick {
			s.questions = slices.Delete(s.questions, n, n+1)
			return true
		}
		if !q.answered || s.processes[q.to].paused {
			continue
		}
		s.questions = slices.Delete(s.questions, n, n+1)
		if q.known {
			m.applyReply(s, p, q)
		}
		return true
	}
	return false
}

func (m model) applyReply(s *modelState, p *process, q question) {
	r := Reply{Asked: q.asked, Got: s.now, LongPoll: q.longPoll}
	statements := q.statements
	switch m.disabled {
	case promptReplyCheck:
		r.Asked = r.Got
	case earliestExact:
		statements = slices.DeleteFunc(slices.Clone(statements), func(t VersionReport) bool {
			return slices.ContainsFunc(p.entries, func(e Entry) bool { return e.Exact && e.Version == t.Version })
		})
	}
	p.Merge(r, statements, m.ranSince(p))
	switch m.disabled {
	case confirmedWhenAsked:
		r.Asked = r.Got
	case peerAgeAdded:
		q.age = 0
	}
	since := r.Since(q.age)
	if !p.ShouldAdopt(since, q.revision) {
		return
	}
	if q.revision > p.Revision {
		m.readVersion(s, p, q.revision, OptionalTime{})
	}
	p.Confirm(since, q.revision)
}
