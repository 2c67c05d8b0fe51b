// Package gossip keeps the environment document and the VM list identical on
// all processes of a fleet. It decides who reads from the platform (the
// configuration service and the VM list), which peers to connect to, which
// state to adopt and what to send. It does no I/O and reads no clock: package
// watch in io/process passes it events and performs the actions that it
// returns.
package gossip

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Topic is a kind of state that is replicated to all processes.
type Topic string

// The topics.
const (
	TopicDocument Topic = "document"
	TopicVMs      Topic = "vms"
)

// Check returns an error if the topic is unknown.
func (t Topic) Check() error {
	if t != TopicDocument && t != TopicVMs {
		return errors.Newf("unknown topic %q", string(t))
	}
	return nil
}

// digestSize is the length of a Digest in bytes, long enough that two states
// over the lifetime of a fleet don't collide by chance.
const digestSize = 16

// Digest identifies the content of an item or of a whole state.
type Digest [digestSize]byte

// String returns the first 8 hex digits of the digest, for logs.
func (s Digest) String() string { return hex.EncodeToString(s[:4]) }

func digestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(p)
	}
	return Digest(h.Sum(nil)[:digestSize])
}

// Mark identifies one state of a topic by version and digest. For the document,
// Version is the revision that the configuration service assigned. For the VM
// list it counts observed changes: the reader that sees a change uses one more
// than the version that it held.
type Mark struct {
	Version uint64 `msgpack:"v"`
	Digest  Digest `msgpack:"s"`
}

// supersedes reports whether a state marked m replaces one marked other. A
// document is replaced only by a higher revision. For the VM list two readers
// may assign the same version to different observations; the higher digest then
// wins, so that all processes choose the same one.
func (m Mark) supersedes(t Topic, other Mark) bool {
	if m.Version != other.Version || t == TopicDocument {
		return m.Version > other.Version
	}
	return bytes.Compare(m.Digest[:], other.Digest[:]) > 0
}

// conflicts reports whether two different documents carry the same revision:
// the configuration service has assigned a number twice, for instance after it
// was restored from a backup.
func (m Mark) conflicts(t Topic, other Mark) bool {
	return t == TopicDocument && m.Version == other.Version && m.Digest != other.Digest
}

func compareItems(a, b Item) int { return cmp.Compare(a.Name, b.Name) }
