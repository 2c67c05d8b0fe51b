package sessn

import (
	"github.com/cockroachdb/errors"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// Load is the target's own account of its load. Known is false until the
// side has heard of it.
type Load struct {
	Known    bool `msgpack:"k"`
	Running  int  `msgpack:"r"`
	Queued   int  `msgpack:"q"`
	Capacity int  `msgpack:"c"`
}

// Heartbeat is sent by the side at a steady rate, and at once when something
// in it has changed. Kinds of service without weights have an empty Serving.
type Heartbeat struct {
	Reading fresh.ClockReading `msgpack:"r"`
	Leaving bool               `msgpack:"l"`
	Ready   bool               `msgpack:"y"`
	Serving chunk.Digest       `msgpack:"s"`
	Load    Load               `msgpack:"o"`
}

// Kind names the message.
func (*Heartbeat) Kind() frame.Kind { return "beat" }

// Check reports the first field that is out of its domain.
func (m *Heartbeat) Check() error { return m.Reading.Check() }

// PrefixEvent says that the target now holds a prompt prefix in its cache, or
// does so no longer.
type PrefixEvent struct {
	Prefix uint64 `msgpack:"p"`
	Stored bool   `msgpack:"s"`
}

// MaxEvents bounds the events of one message.
const MaxEvents = 1024

// Events carries the target's cache events on, in their order. They come
// late and some are lost.
type Events struct {
	Events []PrefixEvent `msgpack:"e"`
}

// Kind names the message.
func (*Events) Kind() frame.Kind { return "events" }

// Check reports the first field that is out of its domain.
func (m *Events) Check() error {
	if len(m.Events) > MaxEvents {
		return errors.Newf("events: %d, want at most %d", len(m.Events), MaxEvents)
	}
	return nil
}

// Alive answers a Heartbeat, so that the side too finds a silent connection.
type Alive struct{}

// Kind names the message.
func (*Alive) Kind() frame.Kind { return "alive" }

// Check finds nothing to check.
func (*Alive) Check() error { return nil }
