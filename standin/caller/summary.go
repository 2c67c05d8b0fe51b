package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is in microseconds.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Row is what became of the calls of one kind in one lane. Cut counts answers
// that broke off in the caller's sight; NotWhole those that looked complete
// and were not.
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

// Overhead is what the entries add to a call of one kind, in microseconds, and
// the calls a second through them as a part of those past them.
type Overhead struct {
	Kind  Kind    `json:"kind"`
	P50   int64   `json:"p50"`
	P99   int64   `json:"p99"`
	Ratio float64 `json:"ratio"`
}

// Total sums the rows of the first lane, which goes through the entries
// unless the run goes past them altogether.
type Total struct {
	Done     int64 `json:"done"`
	NotRun   int64 `json:"notRun"`
	Unknown  int64 `json:"unknown"`
	Cut      int64 `json:"cut"`
	NotWhole int64 `json:"notWhole"`
}

// Summary is the account of a run.
type Summary struct {
	Seconds   float64          `json:"seconds"`
	Total     Total            `json:"total"`
	Rows      []Row            `json:"rows"`
	Overhead  []Overhead       `json:"added,omitempty"`
	Once      OnceCheck        `json:"once"`
	Versions  map[string]int64 `json:"versions"`
	Customers map[string]int64 `json:"customers"`
}

// Valid reports whether every outcome that must hold did.
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

// share is how long the lane was in use.
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

// added compares the lanes of each kind.
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
