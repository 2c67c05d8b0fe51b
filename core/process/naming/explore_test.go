//go:build !race

package naming

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/explor"
	"hawthornferry/core/process/facts"
)

// The model is of two processes that read the store and of one that they tell. Time
// passes in ticks, of the length of one watch; all that takes no time happens at
// once. Between ticks a process may stand still (what comes for it is kept), be cut
// off (what is under way is lost), start anew, or lose its place in the store's
// history.

// tick is the step of time, and the wait of a watch and of a question for news.
const tick = 500 * time.Millisecond

const (
	readers   = 2
	processes = 3
	lastNamed = 3
	// followPatience is how long the silence of a teller lasts until it is left.
	followPatience = 2 * tick
	// calm is after how long without a disturbance the rules hold for a process.
	calm = 4 * tick
)

// dropped is a safeguard that an exploration leaves out.
type dropped string

const (
	dropGap      dropped = "a watch tells of changes live only right after an answer"
	dropStood    dropped = "a standstill is noticed"
	dropLower    dropped = "a version heard of late counts from the last confirmation"
	dropEarliest dropped = "of those that heard the earliest counts"
	dropReplaced dropped = "replaced versions are told"
	dropPrompt   dropped = "a statement counts from its arrival only if prompt"
	dropAnswered dropped = "an answer that lay unread leaves a gap"
	dropAsked    dropped = "a belief counts from the question"
	dropAge      dropped = "the teller's age is added"
)

type bounds struct {
	ticks    int
	freezes  int
	cuts     int
	restarts int
	losses   int
	traps    int
	darks    int
	stalls   int
}

type model struct {
	bounds  bounds
	dropped dropped
	// spare is how long before the end nothing is named any more: the rules could
	// not judge it.
	spare time.Duration
	// looks is set when requests see the moments between two states as well.
	looks bool
}

func (m model) initial() *fleet {
	s := &fleet{now: time.Hour, named: []time.Duration{0}}
	m.settle(s)
	return s
}

func (m model) moves(s *fleet) []explor.Move[*fleet] {
	var out []explor.Move[*fleet]
	add := func(name string, change func(*fleet)) {
		c := s.clone()
		c.views = nil
		m.look(c)
		change(c)
		m.settle(c)
		out = append(out, explor.Move[*fleet]{Name: name, Next: c})
	}
	end := time.Hour + time.Duration(m.bounds.ticks)*tick
	if s.now < end {
		add("time passes", pass)
	}
	if s.store() < lastNamed && s.now+m.spare <= end {
		add(fmt.Sprintf("version %d is named", s.store()+1), func(c *fleet) { c.named = append(c.named, c.now) })
	}
	for i := range s.processes {
		m.disturbances(s, i, add)
	}
	return out
}

// pass lets one tick pass. Disturbances that go on are those of this moment too.
func pass(s *fleet) {
	s.now += tick
	for i := range s.processes {
		p := &s.processes[i]
		if p.frozen || p.cut || p.dark {
			p.disturbed = s.now
		}
	}
}

func (m model) disturbances(s *fleet, i int, add func(string, func(*fleet))) {
	p := &s.processes[i]
	on := func(name string, change func(*fleet, *process)) {
		add(fmt.Sprintf("process %d %s", i, name), func(c *fleet) {
			q := &c.processes[i]
			q.disturbed = c.now
			change(c, q)
		})
	}
	if p.frozen {
		on("goes on", func(c *fleet, p *process) { p.frozen, p.woke = false, c.now })
	} else if s.freezes < m.bounds.freezes {
		on("stands still", func(c *fleet, p *process) {
			c.freezes++
			p.frozen = true
		})
		if !p.traps && s.traps < m.bounds.traps {
			on("will stand still with its next answer", func(c *fleet, p *process) {
				c.traps++
				p.traps = true
			})
		}
	}
	if !p.frozen && !p.stalls && s.stalls < m.bounds.stalls {
		on("will stand still with its next call", func(c *fleet, p *process) {
			c.stalls++
			p.stalls = true
		})
	}
	switch {
	case p.cut:
		on("is back", func(_ *fleet, p *process) { p.cut = false })
	case s.cuts < m.bounds.cuts:
		on("is cut off", func(c *fleet, p *process) {
			c.cuts++
			p.cut, p.watch = true, nil
			c.forget(i)
		})
	}
	switch {
	case p.dark:
		on("reaches the store", func(_ *fleet, p *process) { p.dark = false })
	case i < readers && s.darks < m.bounds.darks:
		on("loses the store", func(c *fleet, p *process) {
			c.darks++
			p.dark, p.watch = true, nil
		})
	}
	if s.restarts < m.bounds.restarts {
		on("starts anew", func(c *fleet, p *process) {
			c.restarts++
			c.forget(i)
			*p = process{disturbed: c.now, cut: p.cut, dark: p.dark, stalls: p.stalls}
		})
	}
	if i < readers && s.losses < m.bounds.losses && !p.lost {
		on("loses its place in the history", func(c *fleet, p *process) {
			c.losses++
			p.lost = true
		})
	}
}

// forget drops what is under way to and from a process.
func (s *fleet) forget(i int) {
	s.questions = slices.DeleteFunc(s.questions, func(q question) bool { return q.from == i || q.to == i })
}

// check is the rule. A process that believes anything and was not disturbed for a
// while takes no version to have been named later than it was, and demands, by the
// bound on each, that one or a newer one.
func (m model) check(s *fleet) error {
	for i := range s.processes {
		p := &s.processes[i]
		if !p.Known || s.now-p.disturbed < calm {
			continue
		}
		for n, named := range s.named[1:] {
			if s.now-named < calm {
				continue
			}
			v := uint64(n + 2)
			if err := m.believes(p, v, named); err != nil {
				return errors.Wrapf(err, "process %d", i)
			}
		}
	}
	return nil
}

func (m model) believes(p *process, version uint64, named time.Duration) error {
	var f facts.Facts
	for _, e := range p.entries {
		if e.Version == version && e.Since > named {
			return errors.Newf("takes version %d to have been named %s late", version, e.Since-named)
		}
		f.Versions = append(f.Versions, facts.Named{Model: e.Model, Version: e.Version, Since: time.Time{}.Add(e.Since)})
	}
	if due, _ := f.Due("m", time.Time{}.Add(named+1)); due.Version < version {
		return errors.Newf("demands version %d when the bound on version %d is over", due.Version, version)
	}
	return nil
}

func (m model) run() explor.Result {
	return explor.Explore(explor.Model[*fleet]{
		Initial: m.initial(), Moves: m.moves, Key: (*fleet).key, Check: m.check, Max: 1 << 20,
	})
}

var (
	twoFreezes   = bounds{ticks: 7, freezes: 2}
	threeFreezes = bounds{ticks: 5, freezes: 3}
	twoCuts      = bounds{ticks: 6, cuts: 2}
	cutAndStart  = bounds{ticks: 7, cuts: 1, restarts: 1}
	freezeCut    = bounds{ticks: 7, freezes: 1, cuts: 1}
	freezeStart  = bounds{ticks: 7, freezes: 1, restarts: 1}
	trapped      = bounds{ticks: 7, freezes: 1, traps: 1}
	trappedTwo   = bounds{ticks: 5, freezes: 2, traps: 1}
	stallStart   = bounds{ticks: 6, stalls: 1, restarts: 2}
	stallFreeze  = bounds{ticks: 6, stalls: 1, freezes: 1}
	stallLoss    = bounds{ticks: 6, stalls: 1, losses: 2}
	freezeLoss   = bounds{ticks: 6, freezes: 1, losses: 2}
	cutLoss      = bounds{ticks: 6, cuts: 1, losses: 1}
	oneOfEach    = bounds{ticks: 5, freezes: 1, cuts: 1, restarts: 1}
)

// Two versions are named while processes stand still, are cut off, start anew and
// hear of it from the store or each other. Whoever was undisturbed for a while
// knows the time of each naming, or one that is earlier: taken for later, requests
// begin on weights that are too old.
func TestNoOrderOfEventsPutsOffANaming(t *testing.T) {
	tests := []struct {
		name   string
		bounds bounds
	}{
		{"two standstills", twoFreezes},
		{"three standstills", threeFreezes},
		{"two cuts", twoCuts},
		{"a cut and a start", cutAndStart},
		{"a standstill and a cut", freezeCut},
		{"a standstill and a start", freezeStart},
		{"an answer that is held up", trapped},
		{"an answer that is held up and two standstills", trappedTwo},
		{"a call that is held up and two starts", stallStart},
		{"a call that is held up and a standstill", stallFreeze},
		{"calls that are held up and lists", stallLoss},
		{"a standstill and lists", freezeLoss},
		{"a cut and a list", cutLoss},
		{"a standstill, a cut and a start", oneOfEach},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := model{bounds: tt.bounds, spare: calm}.run()
			t.Log(got)
			if !got.Whole {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is left out once; the checker must find what it prevents.
func TestEachSafeguardOfNamingsIsNeeded(t *testing.T) {
	tests := []struct {
		dropped dropped
		bounds  bounds
	}{
		{dropGap, freezeCut},
		{dropStood, twoFreezes},
		{dropAnswered, twoFreezes},
		{dropLower, threeFreezes},
		{dropEarliest, trapped},
		{dropReplaced, freezeStart},
		{dropPrompt, trapped},
	}
	for _, tt := range tests {
		t.Run(string(tt.dropped), func(t *testing.T) {
			t.Parallel()
			got := model{bounds: tt.bounds, dropped: tt.dropped, spare: calm}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
