package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Marks is what a process tells a peer that it holds. ReaderAge is the time
// since a reader of the sender's zone is known to have been alive, however
// many processes the news went through.
type Marks struct {
	Document  Mark          `msgpack:"d"`
	VMs       Mark          `msgpack:"v"`
	ReaderAge time.Duration `msgpack:"a"`
}

// Check reports the first field that is out of its domain.
func (m *Marks) Check() error {
	if m.ReaderAge < 0 {
		return errors.Newf("reader age %v is below 0", m.ReaderAge)
	}
	return nil
}

// of returns the mark of one topic.
func (m *Marks) of(t Topic) Mark {
	if t == TopicDocument {
		return m.Document
	}
	return m.VMs
}

// Pull asks a peer for what leads from Have to the state that it holds.
type Pull struct {
	Topic Topic `msgpack:"t"`
	Have  Mark  `msgpack:"h"`
}

// Check reports the first field that is out of its domain.
func (p *Pull) Check() error { return p.Topic.Check() }
