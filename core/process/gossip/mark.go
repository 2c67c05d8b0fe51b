// Package gossip decides how the processes of a fleet keep the same document
// and the same VM list: who reads the platform, who speaks to whom, which
// state is taken and what is sent. It holds no socket and no clock; package
// watch carries its actions out.
package gossip

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Topic names what is kept the same everywhere.
type Topic string

// The topics.
const (
	TopicDocument Topic = "document"
	TopicVMs      Topic = "vms"
)

// Check reports an unknown topic.
func (t Topic) Check() error {
	if t != TopicDocument && t != TopicVMs {
		return errors.Newf("unknown topic %q", string(t))
	}
	return nil
}

// sumSize is the length of a Sum in bytes: enough that no two states of a
// fleet's life share one by chance.
const sumSize = 16

// Sum is a digest of an item or of a whole state.
type Sum [sumSize]byte

// String returns the first digits of the digest, for logs.
func (s Sum) String() string { return hex.EncodeToString(s[:4]) }

func sumOf(parts ...[]byte) Sum {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(p)
	}
	return Sum(h.Sum(nil)[:sumSize])
}

// Mark names one state of a topic. For the document Version is the revision
// that the configuration service gave; for the VM list it counts the changes
// that were observed, one up from the version on which the change was seen.
type Mark struct {
	Version uint64 `msgpack:"v"`
	Sum     Sum    `msgpack:"s"`
}

// above reports whether a state named m replaces one named other. A document
// is replaced by a higher revision alone. Two readers may give different
// observations of the VM list the same version; their digests then decide,
// the same way everywhere.
func (m Mark) above(t Topic, other Mark) bool {
	if m.Version != other.Version || t == TopicDocument {
		return m.Version > other.Version
	}
	return bytes.Compare(m.Sum[:], other.Sum[:]) > 0
}

// conflicts reports whether two documents carry the same revision: the
// service has given one number twice, for instance after it was restored.
func (m Mark) conflicts(t Topic, other Mark) bool {
	return t == TopicDocument && m.Version == other.Version && m.Sum != other.Sum
}

func compareItems(a, b Item) int { return cmp.Compare(a.Name, b.Name) }
