package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/serve"
)

// FaultSet are the faults of an engine; each control call replaces them all.
// Pause holds every request back for a while, Silent until the faults are
// replaced; connections stay open meanwhile. TokenDelay replaces the time for
// each token. Status answers every chat. CutAfter closes the connection after
// that many tokens. Times bounds how many chats meet Status or CutAfter; 0 is
// every one.
type FaultSet struct {
	Pause      serve.Span `json:"pause"`
	TokenDelay serve.Span `json:"tokenDelay"`
	Status     int        `json:"status"`
	CutAfter   *int       `json:"cutAfter"`
	Silent     bool       `json:"silent"`
	Times      int        `json:"times"`
}

// Faults holds the faults in force.
type Faults struct {
	set   serve.Setting[FaultSet]
	mu    sync.Mutex
	hits  int
	until time.Time
}

func (f *Faults) replace(s FaultSet, now time.Time) {
	f.mu.Lock()
	f.hits = 0
	f.until = now.Add(time.Duration(s.Pause))
	f.mu.Unlock()
	f.set.Set(s)
}

func (f *Faults) pausedUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.until
}

// gate waits while the engine is paused or silent.
func (f *Faults) gate(ctx context.Context, clock clockwork.Clock) error {
	for {
		s, changed := f.set.Get()
		pause := f.pausedUntil().Sub(clock.Now())
		if !s.Silent && pause <= 0 {
			return ctx.Err()
		}
		if s.Silent {
			pause = time.Hour
		}
		if err := awaitEither(ctx, clock, pause, changed); err != nil {
			return err
		}
	}
}

func awaitEither(ctx context.Context, clock clockwork.Clock, d time.Duration, changed <-chan struct{}) error {
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hit returns the faults that a chat meets.
func (f *Faults) hit() FaultSet {
	s, _ := f.set.Get()
	if s.Status == 0 && s.CutAfter == nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hits++
	if s.Times > 0 && f.hits > s.Times {
		return FaultSet{TokenDelay: s.TokenDelay}
	}
	return s
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	s, err := serve.Read[FaultSet](w, r)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e.faults.replace(s, e.Clock.Now())
	w.WriteHeader(http.StatusNoContent)
}
