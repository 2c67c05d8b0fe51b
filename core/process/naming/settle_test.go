//go:build !race

package naming

import (
	"slices"
	"time"
)

// settle lets everything happen that takes no time.
func (m model) settle(s *fleet) {
	for again := true; again; {
		again = false
		for i := range s.processes {
			again = m.readStore(s, i) || again
			m.look(s)
			again = m.follow(s, i) || again
			again = m.ask(s, i) || again
		}
		again = m.answer(s) || again
		again = m.takeReplies(s) || again
		m.look(s)
	}
}

// ran is what a process knows of its own standstills.
func (m model) ran(p *process) Ran {
	return func(since time.Duration) bool { return m.dropped == dropStood || p.woke <= since }
}

// readStore begins a call, lets the store answer it, or takes the answer in.
func (m model) readStore(s *fleet, i int) bool {
	p := &s.processes[i]
	w := p.watch
	switch {
	case w == nil:
		if !p.runs() || p.cut || p.dark || i >= readers && s.teller(i) >= 0 {
			return false
		}
		p.watch = m.newWatch(s, p)
		return true
	case !w.done:
		over := s.now-w.Asked >= w.Wait-w.Wait%tick
		if p.cut || p.dark || !w.list && s.store() <= w.after && !over {
			return false
		}
		w.done, w.brought = true, s.store()
		return true
	case p.runs():
		p.watch = nil
		w.Got = s.now
		m.takeStore(s, p, w)
		return true
	}
	return false
}

func (m model) newWatch(s *fleet, p *process) *watch {
	w := &watch{Call: Call{Asked: s.now}, after: p.Revision, list: !p.Known || p.lost}
	if !w.list {
		w.Wait = m.seen(p, s.now).WaitOf(s.now, tick)
	}
	p.lost = false
	if p.stalls {
		p.stalls, p.frozen, p.disturbed = false, true, s.now
	}
	return w
}

// seen is the contact of a process as its decisions see it.
func (m model) seen(p *process, asked time.Duration) Contact {
	c := p.Contact
	if m.dropped == dropGap {
		c.Answered = max(c.Answered, asked)
	}
	return c
}

func (m model) takeStore(s *fleet, p *process, w *watch) {
	if w.brought < p.Revision {
		return
	}
	var live Moment
	if !w.list {
		live = m.seen(p, w.Asked).LiveAt(w.Call, m.ran(p))
	}
	if m.dropped == dropAnswered {
		p.Answered = w.Got
	} else {
		p.Answer(w.Call, m.ran(p))
	}
	if w.brought > p.Revision {
		m.read(s, p, w.brought, live)
	}
	if m.dropped == dropAsked {
		w.Asked = w.Got
	}
	p.Confirm(w.Asked, w.brought)
}

// read takes in the version of a revision, the only one that the store holds then.
func (m model) read(s *fleet, p *process, version uint64, live Moment) {
	e := p.Read("m", version, live, s.now)
	if m.dropped == dropLower && p.Known && !live.Known {
		e.Since = s.now
	}
	p.Add(e)
	p.asked = 0
}

// teller is the process that tells one that does not read, or -1 while it reads the
// store itself.
func (s *fleet) teller(i int) int {
	for _, q := range s.questions {
		if q.from == i && q.waited {
			return q.to
		}
	}
	p := &s.processes[i]
	for n := range readers {
		to := (p.teller + n) % readers
		if r := &s.processes[to]; !r.cut && !r.frozen && !p.cut {
			return to
		}
	}
	return -1
}

// follow keeps a question for news at a teller, and leaves one that is silent.
func (m model) follow(s *fleet, i int) bool {
	p := &s.processes[i]
	if i < readers || !p.runs() || p.cut || p.watch != nil {
		return false
	}
	at := slices.IndexFunc(s.questions, func(q question) bool { return q.from == i && q.waited })
	if at >= 0 {
		q := s.questions[at]
		if q.answered && !s.processes[q.to].frozen || s.now-q.asked < followPatience {
			return false
		}
		s.questions = slices.Delete(s.questions, at, at+1)
		p.teller = (q.to + 1) % readers
		return true
	}
	to := s.teller(i)
	if to < 0 {
		return false
	}
	p.teller = to
	s.questions = append(s.questions, question{from: i, to: to, asked: s.now, after: p.Revision, waited: true})
	return true
}

// ask puts a question about namings to all peers that can be reached, once a tick.
func (m model) ask(s *fleet, i int) bool {
	p := &s.processes[i]
	if !p.runs() || p.cut || p.round == s.now || !p.Questions(p.asked) {
		return false
	}
	p.asked++
	p.round = s.now
	for to := range s.processes {
		if to != i && !s.processes[to].cut {
			s.questions = append(s.questions, question{from: i, to: to, asked: s.now, after: p.Revision})
		}
	}
	return true
}

// answer lets processes reply to what they are asked.
func (m model) answer(s *fleet) bool {
	for n := range s.questions {
		q := &s.questions[n]
		p := &s.processes[q.to]
		over := !q.waited || s.now-q.asked >= tick
		if q.answered || !p.runs() || p.Revision <= q.after && !over {
			continue
		}
		q.answered, q.known, q.at, q.age = true, p.Known, p.Revision, s.now-p.Confirmed
		q.told = p.Statements(s.now)
		if m.dropped == dropReplaced && len(q.told) > 0 {
			q.told = q.told[len(q.told)-1:]
		}
		if p.traps {
			p.traps, p.frozen, p.disturbed = false, true, s.now
		}
		return true
	}
	return false
}

// takeReplies hands replies that have left to those that run. One to a question
// without a wait is given up after a tick.
func (m model) takeReplies(s *fleet) bool {
	for n, q := range s.questions {
		p := &s.processes[q.from]
		if !p.runs() {
			continue
		}
		if !q.waited && s.now-q.asked > tick {
			s.questions = slices.Delete(s.questions, n, n+1)
			return true
		}
		if !q.answered || s.processes[q.to].frozen {
			continue
		}
		s.questions = slices.Delete(s.questions, n, n+1)
		if q.known {
			m.take(s, p, q)
		}
		return true
	}
	return false
}

func (m model) take(s *fleet, p *process, q question) {
	r := Reply{Asked: q.asked, Got: s.now, Waited: q.waited}
	told := q.told
	switch m.dropped {
	case dropPrompt:
		r.Asked = r.Got
	case dropEarliest:
		told = slices.DeleteFunc(slices.Clone(told), func(t Statement) bool {
			return slices.ContainsFunc(p.entries, func(e Entry) bool { return e.Heard && e.Version == t.Version })
		})
	}
	p.Take(r, told, m.ran(p))
	switch m.dropped {
	case dropAsked:
		r.Asked = r.Got
	case dropAge:
		q.age = 0
	}
	since := r.Since(q.age)
	if !p.Adopts(since, q.at) {
		return
	}
	if q.at > p.Revision {
		m.read(s, p, q.at, Moment{})
	}
	p.Confirm(since, q.at)
}
