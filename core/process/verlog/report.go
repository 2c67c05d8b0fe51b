package verlog

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxRoundTrip is the longest round trip of a question to a peer for which
	// the answer's ages are still taken as exact. It bounds their error.
	MaxRoundTrip = 100 * time.Millisecond
	// MinQuestions is the minimum number of times that peers are asked about
	// each version. Even a peer that saw the announcement may have seen it
	// slightly late, and the earliest of several answers is used.
	MinQuestions = 2
	// MaxQuestions limits how often peers are asked while none of them saw the
	// announcement. The peers asked first may have been disconnected too, and
	// after a power loss of all machines no process knows.
	MaxQuestions = 6
)

// VersionReport is what a process reports to its peers about one version. Age
// is how long ago it was announced. It is exact if Exact (some process saw the
// announcement) or FromReturn (no process could reach the store then, and the
// age counts from its return) is set, otherwise an upper bound.
// StoreUnreachable reports that the store was unreachable for the sender until
// it read the version.
type VersionReport struct {
	Model   string        `msgpack:"model"`
	Version uint64        `msgpack:"version"`
	Age     time.Duration `msgpack:"age"`
	Exact   bool          `msgpack:"heard"`
	// FromReturn qualifies Age in the same way as Exact.
	FromReturn       bool `msgpack:"returned"`
	StoreUnreachable bool `msgpack:"away"`
}

// Check returns an error for the first field that is out of range.
func (r *VersionReport) Check() error {
	if r.Model == "" || r.Version == 0 {
		return errors.Newf("factsTell: version %d of model %q: want a model and a version above 0", r.Version, r.Model)
	}
	if r.Age < 0 {
		return errors.Newf("factsTell: age %s of version %d of %q is below 0", r.Age, r.Version, r.Model)
	}
	return nil
}

// VersionReports returns the log's entries in the form sent to peers.
func (l *Log) VersionReports(now time.Duration) []VersionReport {
	var out []VersionReport
	for _, e := range l.entries {
		out = append(out, VersionReport{Model: e.Model, Version: e.Version, Age: max(0, now-e.Since), Exact: e.Exact, FromReturn: e.FromReturn, StoreUnreachable: e.StoreUnreachable})
	}
	return out
}

// Reply describes a peer's answer to a question. LongPoll is set for a long
// poll, which the peer answers only once it has a change to report or the wait
// is over.
type Reply struct {
	Asked    time.Duration
	Got      time.Duration
	LongPoll bool
	// StoreUnreachable is set when the store has become unreachable for the
	// peer and still is.
	StoreUnreachable bool
}

// Since returns the time at which a fact held that the peer had confirmed age
// before it answered. The answer was given no earlier than the question was
// sent, so this is a lower bound.
func (r Reply) Since(age time.Duration) time.Duration { return r.Asked - age }

// ReadPromptly reports whether the reply was read shortly after it was given,
// so that ages in it count from its arrival. The reply to a long poll is
// assumed to be if this process was not suspended meanwhile.
func (r Reply) ReadPromptly(ran RanSince) bool {
	return r.Got-r.Asked <= MaxRoundTrip || r.LongPoll && ran(r.Asked)
}

// Merge adds the reports of a peer, whatever revision the peer holds: a
// process that resumes may have read the store before its peers answer. It
// reports whether the log changed.
func (l *Log) Merge(r Reply, reports []VersionReport, ran RanSince) bool {
	prompt := r.ReadPromptly(ran)
	news := false
	for _, t := range reports {
		e := Entry{Model: t.Model, Version: t.Version, Since: r.Since(t.Age), Exact: t.Exact && prompt, FromReturn: t.FromReturn && prompt}
		if e.Exact || e.FromReturn {
			// Counting from arrival errs towards later by the transit time,
			// never towards earlier. With errors in both directions, peers that
			// ask each other would move the time further and further.
			e.Since = r.Got - t.Age
		}
		news = l.Add(e) || news
	}
	return l.countFromReturn(r, reports) || news
}

// countFromReturn handles a version that this process found when the store
// became reachable again. If the peer could not reach the store either, no
// process can have seen the announcement, and the version counts from the
// store's return. Counted from before the outage, engines would have to serve
// it by a time at which no process could have told them of it. If some process
// did see the announcement after all, its time takes precedence. It reports
// whether the log changed.
func (l *Log) countFromReturn(r Reply, reports []VersionReport) bool {
	news := false
	for i, e := range l.entries {
		if !e.Read || !e.StoreUnreachable || e.Exact || e.FromReturn {
			continue
		}
		at := slices.IndexFunc(reports, func(t VersionReport) bool { return t.Model == e.Model && t.Version == e.Version })
		if at < 0 && r.StoreUnreachable || at >= 0 && reports[at].StoreUnreachable && !reports[at].Exact {
			l.entries[i].Since, l.entries[i].FromReturn = e.ReadAt, true
			news = true
		}
	}
	return news
}

// ShouldAsk reports whether peers have to be asked again about the newest
// version, after they were asked the given number of times.
func (l *Log) ShouldAsk(asked int) bool {
	enough := asked >= MaxQuestions || asked >= MinQuestions && !l.Unresolved()
	return !enough && len(l.entries) > 0
}
