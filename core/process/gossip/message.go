package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Marks tells a peer which states the sender holds. ReaderAge is how long ago a
// reader of the sender's zone was last known to be alive, even if the sender
// learned of it through several other processes.
type Marks struct {
	Document  Mark          `msgpack:"d"`
	VMs       Mark          `msgpack:"v"`
	ReaderAge time.Duration `msgpack:"a"`
}

// Check returns an error for the first field that is out of range.
func (m *Marks) Check() error {
	if m.ReaderAge < 0 {
		return errors.Newf("reader age %v is negative", m.ReaderAge)
	}
	return nil
}

// forTopic returns the mark of one topic.
func (m *Marks) forTopic(t Topic) Mark {
	if t == TopicDocument {
		return m.Document
	}
	return m.VMs
}

// Pull asks a peer for the delta from Have to the state that the peer holds.
type Pull struct {
	Topic Topic `msgpack:"t"`
	Have  Mark  `msgpack:"h"`
}

// Check returns an error for the first field that is out of range.
func (p *Pull) Check() error { return p.Topic.Check() }
