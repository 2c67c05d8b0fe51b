package direct

import (
	"net/http"
	"testing"
	"time"
)

// A handover must not cause a pause longer than the route's gap objective in a stream
// whose target sends events on time.
func TestHandoverPauseStaysWithinGap(t *testing.T) {
	m := newHandoverTest(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, in := m.startStream()
	last := time.Now()
	m.requestLoad()
	time.Sleep(250 * time.Millisecond)
	m.engine.next <- struct{}{}
	if e, err := (&eventReader{in: in}).next(); err != nil || e.id != 2 {
		t.Fatalf("event %d: %v", e.id, err)
	}
	gap := m.server.Source.Current().Table.Routes[0].MaxEventGap
	if pause := time.Since(last); pause > gap {
		t.Errorf("pause of %s, want %s at most", pause, gap)
	}
}

// longPromptCodec gives each request a prompt that an idle engine reads in 600 ms.
type longPromptCodec struct{ testCodec }

func (d longPromptCodec) ReadCaller(r *http.Request) (CallerHeaders, error) {
	c, err := d.testCodec.ReadCaller(r)
	c.PromptTokens = 600
	return c, err
}

// A handover must not be started if the new target cannot respond before buffered
// events expire: it would cost that target the reading of a prompt, and the stream its
// last attempt.
func TestNoHandoverWhenNewTargetReadsPromptTooLong(t *testing.T) {
	requests := make(chan struct{}, 1)
	m := newHandoverTest(t, func(_ http.ResponseWriter, r *http.Request) {
		requests <- struct{}{}
		<-r.Context().Done()
	})
	m.server.HeaderCodec = longPromptCodec{}
	_, in := m.startStream()
	m.requestLoad()
	for range streamEvents - 1 {
		time.Sleep(20 * time.Millisecond)
		m.engine.next <- struct{}{}
	}
	readRest(t, in)
	select {
	case <-requests:
		t.Error("the new target got a request")
	default:
	}
}
