package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/serve"
)

// FaultSettings are the faults that an engine injects; each control call replaces
// them all. Pause delays every request until that time has passed, Silent until
// the faults are replaced; connections stay open meanwhile. TokenDelay replaces
// the engine's own. Status is returned for a chat. CutAfter closes a chat's
// connection after that many tokens. Times is how many chats get Status or
// CutAfter; 0 is every chat.
type FaultSettings struct {
	Pause      serve.Duration `json:"pause"`
	TokenDelay serve.Duration `json:"tokenDelay"`
	Status     int            `json:"status"`
	CutAfter   *int           `json:"cutAfter"`
	Silent     bool           `json:"silent"`
	Times      int            `json:"times"`
}

// faultState holds the current faults, the time at which a pause ends and the
// number of chats that counted towards Times.
type faultState struct {
	settings     serve.Observable[FaultSettings]
	mu           sync.Mutex
	faultedChats int
	pauseEnd     time.Time
}

func (f *faultState) replace(s FaultSettings, now time.Time) {
	f.mu.Lock()
	f.faultedChats = 0
	f.pauseEnd = now.Add(time.Duration(s.Pause))
	f.mu.Unlock()
	f.settings.Set(s)
}

func (f *faultState) pausedUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pauseEnd
}

// waitWhilePaused waits while the engine is paused or silent.
func (f *faultState) waitWhilePaused(ctx context.Context, clock clockwork.Clock) error {
	for {
		s, changed := f.settings.Get()
		pause := f.pausedUntil().Sub(clock.Now())
		if !s.Silent && pause <= 0 {
			return ctx.Err()
		}
		if s.Silent {
			pause = time.Hour
		}
		if err := sleepUntilChange(ctx, clock, pause, changed); err != nil {
			return err
		}
	}
}

func sleepUntilChange(ctx context.Context, clock clockwork.Clock, d time.Duration, changed <-chan struct{}) error {
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

// nextForChat returns the faults for the next chat, and counts the chats that get
// a fault limited by Times.
func (f *faultState) nextForChat() FaultSettings {
	s, _ := f.settings.Get()
	if s.Status == 0 && s.CutAfter == nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultedChats++
	if s.Times > 0 && f.faultedChats > s.Times {
		return FaultSettings{TokenDelay: s.TokenDelay}
	}
	return s
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	s, err := serve.DecodeJSON[FaultSettings](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	e.faults.replace(s, e.Clock.Now())
	w.WriteHeader(http.StatusNoContent)
}
