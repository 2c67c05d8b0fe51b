package sessn

import (
	"github.com/cockroachdb/errors"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// Load is the load that the target itself reports. Known is false until the side
// has received a report.
type Load struct {
	Known    bool `msgpack:"k"`
	Running  int  `msgpack:"r"`
	Queued   int  `msgpack:"q"`
	Capacity int  `msgpack:"c"`
}

// Heartbeat is sent by the side at a fixed interval, and at once when its content
// has changed. Reading is the side's clock. Leaving means that the target takes no
// new calls, Ready that it can serve calls. ServedVersion is the digest of the manifest
// of the version that the target serves; it is empty for a service without weights.
type Heartbeat struct {
	Reading       fresh.ClockReading `msgpack:"r"`
	Leaving       bool               `msgpack:"l"`
	Ready         bool               `msgpack:"y"`
	ServedVersion chunk.Digest       `msgpack:"s"`
	Load          Load               `msgpack:"o"`
}

// Kind returns the message's kind on the wire.
func (*Heartbeat) Kind() frame.Kind { return "beat" }

// Check returns an error for the first invalid field.
func (m *Heartbeat) Check() error { return m.Reading.Check() }

// PrefixEvent says that the target has stored a prompt prefix in its cache, or has
// removed it.
type PrefixEvent struct {
	Prefix uint64 `msgpack:"p"`
	Stored bool   `msgpack:"s"`
}

// MaxEvents is the maximum number of events in one message.
const MaxEvents = 1024

// CacheEvents carries the target's cache events to an entry, in order. They arrive with
// a delay, and some are lost.
type CacheEvents struct {
	Events []PrefixEvent `msgpack:"e"`
}

// Kind returns the message's kind on the wire.
func (*CacheEvents) Kind() frame.Kind { return "events" }

// Check returns an error for the first invalid field.
func (m *CacheEvents) Check() error {
	if len(m.Events) > MaxEvents {
		return errors.Newf("events: %d, want at most %d", len(m.Events), MaxEvents)
	}
	return nil
}

// Alive is the entry's answer to a Heartbeat. With it the side too can detect a dead
// connection.
type Alive struct{}

// Kind returns the message's kind on the wire.
func (*Alive) Kind() frame.Kind { return "alive" }

// Check returns nil, since the message has no fields.
func (*Alive) Check() error { return nil }
