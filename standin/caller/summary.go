package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency has the percentiles of a latency in microseconds.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Row counts the calls of one kind over one route by their result. Cut is the
// number of answers that ended early, NotWhole of those that looked complete and
// were wrong. Retried is the number of attempts after the first. Whole is the
// latency of the calls that were done, FirstToken that of a stream's first token.
type Row struct {
	Route      string           `json:"lane"`
	Kind       Kind             `json:"kind"`
	Started    int64            `json:"started"`
	Done       int64            `json:"done"`
	NotRun     int64            `json:"notRun"`
	Unknown    int64            `json:"unknown"`
	Cut        int64            `json:"cut"`
	NotWhole   int64            `json:"notWhole"`
	Retried    int64            `json:"retried"`
	PerSecond  float64          `json:"perSecond"`
	FirstToken *Latency         `json:"firstToken,omitempty"`
	Whole      Latency          `json:"whole"`
	Faults     map[string]int64 `json:"faults,omitempty"`
}

// Overhead compares the calls of one kind through the entries with direct ones:
// the added latency in microseconds, and the calls a second as a fraction of the
// direct ones.
type Overhead struct {
	Kind  Kind    `json:"kind"`
	P50   int64   `json:"p50"`
	P99   int64   `json:"p99"`
	Ratio float64 `json:"ratio"`
}

// Total sums the rows of the route LoadTest.Entries, which leads through the
// entries unless all calls of the run are direct.
type Total struct {
	Done     int64 `json:"done"`
	NotRun   int64 `json:"notRun"`
	Unknown  int64 `json:"unknown"`
	Cut      int64 `json:"cut"`
	NotWhole int64 `json:"notWhole"`
}

// Summary is the result of a run, which the callers command prints as JSON.
type Summary struct {
	Seconds   float64          `json:"seconds"`
	Total     Total            `json:"total"`
	Rows      []Row            `json:"rows"`
	Overhead  []Overhead       `json:"added,omitempty"`
	Once      OnceCheck        `json:"once"`
	Versions  map[string]int64 `json:"versions"`
	Customers map[string]int64 `json:"customers"`
}

// Valid reports whether no answer was wrong, no once-call was executed twice and
// no once-call's outcome was false.
func (s Summary) Valid() bool {
	return s.Total.NotWhole == 0 && s.Once.Duplicates == 0 && s.Once.FalseNotRun == 0 && s.Once.FalseDone == 0
}

func (l *LoadTest) summary() (Summary, error) {
	elapsed := l.Clock.Since(l.start)
	s := Summary{Seconds: elapsed.Seconds()}
	ran, err := l.executions()
	if err != nil {
		return s, err
	}
	if len(l.Replicas) > 0 {
		s.Once = l.onceOutcomes.compare(ran)
	}
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	s.Versions = l.counts.versions
	s.Customers = l.counts.customers
	for key, t := range l.counts.rows {
		r := t.row(key, l.routeTime(key.route, elapsed))
		s.Rows = append(s.Rows, r)
		if key.route == l.Entries.Name {
			s.Total.add(r)
		}
	}
	slices.SortFunc(s.Rows, compareRows)
	s.Overhead = overheads(s.Rows)
	return s, nil
}

// routeTime returns how long calls were begun over the route.
func (l *LoadTest) routeTime(route string, elapsed time.Duration) time.Duration {
	if l.Direct.Name == "" {
		return elapsed
	}
	rounds := elapsed / (2 * l.Slice)
	rest := elapsed % (2 * l.Slice)
	if route == RouteDirect {
		return rounds*l.Slice + max(0, rest-l.Slice)
	}
	return rounds*l.Slice + min(rest, l.Slice)
}

func (t *tally) row(key rowKey, elapsed time.Duration) Row {
	r := Row{
		Route:    key.route,
		Kind:     key.kind,
		Started:  t.started,
		Done:     t.done,
		NotRun:   t.notRun,
		Unknown:  t.unknown,
		Cut:      t.cut,
		NotWhole: t.notWhole,
		Retried:  t.retried,
		Whole:    latency(t.whole),
		Faults:   t.faults,
	}
	if elapsed > 0 {
		r.PerSecond = float64(t.done) / elapsed.Seconds()
	}
	if t.firstToken.TotalCount() > 0 {
		first := latency(t.firstToken)
		r.FirstToken = &first
	}
	return r
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

func (t *Total) add(r Row) {
	t.Done += r.Done
	t.NotRun += r.NotRun
	t.Unknown += r.Unknown
	t.Cut += r.Cut
	t.NotWhole += r.NotWhole
}

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Route, b.Route))
}

// overheads compares the two routes for each kind of call.
func overheads(rows []Row) []Overhead {
	var out []Overhead
	for _, e := range rows {
		i := slices.IndexFunc(rows, func(r Row) bool { return r.Kind == e.Kind && r.Route == RouteDirect })
		if e.Route != RouteEntry || i < 0 || rows[i].PerSecond == 0 {
			continue
		}
		d := rows[i]
		out = append(out, Overhead{
			Kind:  e.Kind,
			P50:   e.Whole.P50 - d.Whole.P50,
			P99:   e.Whole.P99 - d.Whole.P99,
			Ratio: e.PerSecond / d.PerSecond,
		})
	}
	return out
}
