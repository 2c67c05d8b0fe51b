package link

import (
	"encoding/binary"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/frame"
)

// Guards against peers that hold a connection, or its memory, by messages that are too long or
// that never end; and against idle connections that are taken for these.
func TestMessagesOfPeersAreBounded(t *testing.T) {
	const timeout = 100 * time.Millisecond
	prefix := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	tests := []struct {
		name  string
		hello bool
		sent  []byte
		want  bound.Name
	}{
		{"long hello", false, prefix(bound.MaxHelloBytes + 1), bound.Hello},
		{"part of a hello", false, prefix(100), bound.Hello},
		{"long message", true, prefix(bound.MaxFrameBytes + 1), bound.Frame},
		{"part of a length", true, []byte{0}, bound.Frame},
		{"part of a message", true, append(prefix(bound.MaxFrameBytes), make([]byte, 100_000)...), bound.Frame},
		{"nothing", true, nil, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			c := newConn(testSelf("near"), near, frame.Kinds{})
			c.deadlines.frameTimeout = timeout
			other := newConn(testSelf("far"), far, frame.Kinds{})
			go func() {
				if tc.hello {
					_ = other.sendHello(PurposeConfig)
				}
				_, _ = far.Write(tc.sent)
			}()
			err := c.receiveHello()
			if tc.hello {
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetReadDeadline(time.Now().Add(5 * timeout))
				_, err = c.Receive()
			}
			name, _ := bound.Of(err)
			if diff := cmp.Diff(tc.want, name); diff != "" || tc.want == "" && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("error %v, cut off at (-want +got):\n%s", err, diff)
			}
		})
	}
}
