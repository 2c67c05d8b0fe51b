package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/place"
)

// sendTime is enough for a request to reach its target once the connection is being opened.
const sendTime = 50 * time.Millisecond

// Guards against a request that is sent to a target which says, while the connection to it is
// being opened, that it takes none.
func TestRequestAssignedBeforeNoticeIsNotSent(t *testing.T) {
	tests := []struct {
		name string
		said place.Notice
	}{
		{"leaving", place.Notice{Leaving: true}},
		{"backing off", place.Notice{RetryAfter: time.Minute}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var arrivals atomic.Int32
			m := newHandoverTest(t, func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				resumeStream(w, r)
			})
			connecting := m.sayWhileConnecting("b", tc.said)
			_, in := m.startStream()
			m.requestLoad()
			<-connecting
			time.Sleep(sendTime)
			for range streamEvents - 1 {
				m.engine.next <- struct{}{}
			}
			if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, readRest(t, in)); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(int32(0), arrivals.Load()); diff != "" {
				t.Errorf("requests at the target (-want +got):\n%s", diff)
			}
		})
	}
}

// sayWhileConnecting makes the target say something of itself while each connection to it is
// being opened, and returns a channel that is closed when the first one is.
func (m *handoverTest) sayWhileConnecting(target string, said place.Notice) <-chan struct{} {
	var to facts.Target
	for _, t := range m.server.Source.Current().Targets {
		if t.ID == target {
			to = t
		}
	}
	connecting := make(chan struct{})
	signal := sync.OnceFunc(func() { close(connecting) })
	dial := m.server.connector.dial
	m.server.connector.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == to.Address.String() {
			m.server.dispatcher.recordNotice(to, said, m.server.Clock.Now())
			signal()
		}
		return dial(ctx, network, address)
	}
	return connecting
}
