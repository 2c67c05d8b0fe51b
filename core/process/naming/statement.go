package naming

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MostRoundTrip is how long a question to a peer may take for its answer to
	// tell when a version was named: that is off by as much at most.
	MostRoundTrip = 100 * time.Millisecond
	// LeastQuestions is how often peers are asked about each version: also one
	// that heard of it may have heard a little late, and of a few answers the
	// earliest counts.
	LeastQuestions = 2
	// MostQuestions bounds how often while none that is asked has heard of it:
	// those asked first may have been out of touch too, and after a loss of all
	// power nobody knows.
	MostQuestions = 6
)

// Statement is what a process tells its peers of a naming: how long ago it was, and
// whether somebody heard of it at that moment, or the store was away from all then
// and returned at that moment. Else Age is the most that it can be. Away tells that
// the store was out of the process's reach until it read the version.
type Statement struct {
	Model   string        `msgpack:"model"`
	Version uint64        `msgpack:"version"`
	Age     time.Duration `msgpack:"age"`
	Heard   bool          `msgpack:"heard"`
	// Returned goes with Age as Heard does.
	Returned bool `msgpack:"returned"`
	Away     bool `msgpack:"away"`
}

// Check reports the first field that is out of its domain.
func (s *Statement) Check() error {
	if s.Model == "" || s.Version == 0 {
		return errors.Newf("factsTell: version %d of model %q: want a model and a version above 0", s.Version, s.Model)
	}
	if s.Age < 0 {
		return errors.Newf("factsTell: age %s of version %d of %q is below 0", s.Age, s.Version, s.Model)
	}
	return nil
}

// Statements is what peers are told of the namings.
func (l *Ledger) Statements(now time.Duration) []Statement {
	var out []Statement
	for _, n := range l.entries {
		out = append(out, Statement{Model: n.Model, Version: n.Version, Age: max(0, now-n.Since), Heard: n.Heard, Returned: n.Returned, Away: n.Away})
	}
	return out
}

// Reply is a peer's answer to a question. Waited is set when the peer was to answer
// only once it had news.
type Reply struct {
	Asked  time.Duration
	Got    time.Duration
	Waited bool
	// Away is set when the store has been out of the peer's reach, and still is.
	Away bool
}

// Since is when something was true that the peer had confirmed age before it
// answered: at the latest age before it was asked.
func (r Reply) Since(age time.Duration) time.Duration { return r.Asked - age }

// Prompt reports whether the reply came as it was given. One to a question that
// waited for news is taken to have if this process ran all the while.
func (r Reply) Prompt(ran Ran) bool {
	return r.Got-r.Asked <= MostRoundTrip || r.Waited && ran(r.Asked)
}

// Take adopts what a peer tells, whatever revision the peer holds: a process that
// wakes may have read the store before its peers answer. It returns whether that
// was news.
func (l *Ledger) Take(r Reply, told []Statement, ran Ran) bool {
	prompt := r.Prompt(ran)
	news := false
	for _, t := range told {
		e := Entry{Model: t.Model, Version: t.Version, Since: r.Since(t.Age), Heard: t.Heard && prompt, Returned: t.Returned && prompt}
		if e.Heard || e.Returned {
			// Late by the way here, never early: with errors to both sides peers
			// that ask each other would shift the moment on and on.
			e.Since = r.Got - t.Age
		}
		news = l.Add(e) || news
	}
	return l.witness(r, told) || news
}

// witness takes the statement of a peer from which the store was away as well. A
// version that this process found at the store's return was then named while nobody
// could hear of it, and is counted from the return: counted from before the outage,
// it would be demanded of engines that nobody could tell of it. Should somebody
// have heard of it after all, that goes before. It returns whether it was news.
func (l *Ledger) witness(r Reply, told []Statement) bool {
	news := false
	for i, e := range l.entries {
		if !e.Read || !e.Away || e.Heard || e.Returned {
			continue
		}
		at := slices.IndexFunc(told, func(t Statement) bool { return t.Model == e.Model && t.Version == e.Version })
		if at < 0 && r.Away || at >= 0 && told[at].Away && !told[at].Heard {
			l.entries[i].Since, l.entries[i].Returned = e.Until, true
			news = true
		}
	}
	return news
}

// Questions reports whether peers are to be asked about the newest naming after
// they were asked so often.
func (l *Ledger) Questions(asked int) bool {
	enough := asked >= MostQuestions || asked >= LeastQuestions && !l.Unresolved()
	return !enough && len(l.entries) > 0
}
