package bound

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
)

// logInterval is the least time between two log lines about the same machine and bound. The
// metric counts each read that was cut off.
const logInterval = time.Second

// maxLogged limits the machines and bounds that a Reporter remembers.
const maxLogged = 1024

// Reporter logs and counts the reads that were cut off. It is safe for concurrent use. Set the
// exported fields before the first call. A nil Reporter does nothing.
type Reporter struct {
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope

	mu     sync.Mutex
	logged map[loggedCutOff]time.Time
}

type loggedCutOff struct {
	address string
	bound   Name
}

// Record reports err if a read was cut off with it. subject is the machine that sent the data,
// and address where it did. Both are in the log line, and the address in the metric.
func (r *Reporter) Record(area trail.Area, subject, address string, err error) {
	var cut *CutOffError
	if r == nil || r.Log == nil || !errors.As(err, &cut) {
		return
	}
	r.Metrics.Tagged(map[string]string{"address": address, "bound": string(cut.Bound)}).Counter("reads_cut_off_total").Inc(1)
	if !r.mayLog(loggedCutOff{address: address, bound: cut.Bound}) {
		return
	}
	r.Log.Record(trail.Decision{
		Area: area, Action: trail.ActionReadCutOff, Subject: subject, Choice: address, Reason: cut.Error(),
	})
}

// mayLog reports whether a line may be logged now, and takes note of it.
func (r *Reporter) mayLog(k loggedCutOff) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if last, ok := r.logged[k]; ok && now.Sub(last) < logInterval {
		return false
	}
	if r.logged == nil || len(r.logged) >= maxLogged {
		r.logged = map[loggedCutOff]time.Time{}
	}
	r.logged[k] = now
	return true
}
