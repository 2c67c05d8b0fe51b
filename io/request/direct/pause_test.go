package direct

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a pause that only the entry makes in a stream whose target writes on time.
func TestHandoverMakesNoPauseOverTheGap(t *testing.T) {
	m := startMoving(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, in := m.stream()
	last := time.Now()
	m.load()
	time.Sleep(250 * time.Millisecond)
	m.engine.next <- struct{}{}
	if e, err := readEvent(in); err != nil || e.id != 2 {
		t.Fatalf("event %d: %v", e.id, err)
	}
	gap := m.server.Source.Current().Table.Routes[0].Gap
	if pause := time.Since(last); pause > gap {
		t.Errorf("pause of %s, want %s at most", pause, gap)
	}
}

// longPrompts has every request bring a prompt that an idle engine reads in 600 ms.
type longPrompts struct{ testDialect }

func (d longPrompts) Call(r *http.Request) (Call, error) {
	c, err := d.testDialect.Call(r)
	c.Prompt = 600
	return c, err
}

// Guards against a move that cannot be over before events are held too long: it costs the
// other target a prompt and the stream its last attempt.
func TestStreamIsNotMovedWhenTheOtherTargetReadsTooLong(t *testing.T) {
	asked := make(chan struct{}, 1)
	m := startMoving(t, func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	})
	m.server.Dialect = longPrompts{}
	_, in := m.stream()
	m.load()
	for range streamEvents - 1 {
		time.Sleep(20 * time.Millisecond)
		m.engine.next <- struct{}{}
	}
	rest(t, in)
	select {
	case <-asked:
		t.Error("the other target was asked")
	default:
	}
}
