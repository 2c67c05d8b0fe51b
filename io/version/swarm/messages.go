package swarm

import (
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/frame"
)

// MaxBlockSize is the maximum number of bytes of a chunk in one message. It is
// well below frame.MaxFrame so that transfers are paced in small steps and a
// live call never waits for a long message.
const MaxBlockSize = 256 << 10

// maxIndexes is the maximum number of chunk indexes in one message.
const maxIndexes = chunk.MaxChunks

// chunkSets contains the complete chunk sets of one manifest: the chunks that
// the sender holds and those that it knows to be held in its region. It is
// sent when a connection starts to exchange chunks of the manifest.
type chunkSets struct {
	Manifest     chunk.Digest `msgpack:"manifest"`
	Have         spread.Bits  `msgpack:"have"`
	HeldInRegion spread.Bits  `msgpack:"seen"`
}

// chunkUpdate announces changes to the sets of chunkSets.
type chunkUpdate struct {
	Manifest     chunk.Digest `msgpack:"manifest"`
	Have         []int        `msgpack:"have,omitempty"`
	HeldInRegion []int        `msgpack:"seen,omitempty"`
	// Retrying lists the chunks that some side of the region keeps trying to
	// fetch.
	Retrying []int `msgpack:"tried,omitempty"`
}

// downSides names sides of the region that do not run.
type downSides struct {
	Sides []string `msgpack:"sides"`
}

// maxDownSides is the maximum number of sides in one message.
const maxDownSides = 1024

// offer allows the receiver to request one chunk. refuseOffer declines an
// offer, and acceptOffers tells a peer whose offer was declined that it may
// offer again. ping keeps the connection open.
type (
	offer        struct{}
	refuseOffer  struct{}
	acceptOffers struct{}
	ping         struct{}
)

// transferID identifies one transfer of a chunk. The receiving side numbers
// its transfers. A transfer that is stopped and started again gets a new
// number, since messages of both may be in flight at the same time.
type transferID struct {
	Chunk  chunk.Digest `msgpack:"chunk"`
	Number uint64       `msgpack:"number"`
}

// blockRequest requests Length bytes of a chunk from Offset on.
type blockRequest struct {
	transferID `msgpack:",inline"`

	Offset int64 `msgpack:"offset"`
	Length int64 `msgpack:"length"`
}

// block carries bytes of a chunk.
type block struct {
	transferID `msgpack:",inline"`

	Offset int64  `msgpack:"offset"`
	Data   []byte `msgpack:"data"`
}

// receivedBlocks holds blocks whose bytes have been copied into their chunk. Blocks are
// decoded into them, since those of one version would otherwise leave its size as garbage.
var receivedBlocks = sync.Pool{New: func() any { return new(block) }}

// recycle makes a received block available to be decoded into. It must not be used
// afterwards.
func (m *block) recycle() {
	*m = block{Data: m.Data[:0]}
	receivedBlocks.Put(m)
}

// refuseRequest answers a blockRequest for a chunk that the sender will not
// send.
type refuseRequest struct {
	transferID `msgpack:",inline"`
}

// deferRequest answers a blockRequest for a chunk that the sender wants too
// but does not hold yet. The blocks follow once the sender holds the chunk.
type deferRequest struct {
	transferID `msgpack:",inline"`
}

// cancelTransfer withdraws all requests of one transfer.
type cancelTransfer struct {
	transferID `msgpack:",inline"`
}

func (*chunkSets) Kind() frame.Kind      { return "maps" }
func (*chunkUpdate) Kind() frame.Kind    { return "news" }
func (*downSides) Kind() frame.Kind      { return "gone" }
func (*offer) Kind() frame.Kind          { return "offer" }
func (*refuseOffer) Kind() frame.Kind    { return "pass" }
func (*acceptOffers) Kind() frame.Kind   { return "ready" }
func (*ping) Kind() frame.Kind           { return "ping" }
func (*blockRequest) Kind() frame.Kind   { return "want" }
func (*block) Kind() frame.Kind          { return "block" }
func (*refuseRequest) Kind() frame.Kind  { return "lacks" }
func (*deferRequest) Kind() frame.Kind   { return "later" }
func (*cancelTransfer) Kind() frame.Kind { return "drop" }

// Check reports the first field that is out of range.
func (m *chunkSets) Check() error {
	if len(m.Have) > maxIndexes/8 || len(m.HeldInRegion) > maxIndexes/8 {
		return errors.Newf("maps: longer than %d chunks", maxIndexes)
	}
	return m.Manifest.Check()
}

// Check reports the first field that is out of range.
func (m *chunkUpdate) Check() error {
	for _, list := range [][]int{m.Have, m.HeldInRegion, m.Retrying} {
		if len(list) > maxIndexes {
			return errors.Newf("news: more than %d indexes", maxIndexes)
		}
		for _, i := range list {
			if i < 0 || i >= maxIndexes {
				return errors.Newf("news: index %d out of range", i)
			}
		}
	}
	return m.Manifest.Check()
}

// Check reports whether too many sides are named.
func (m *downSides) Check() error {
	if len(m.Sides) > maxDownSides {
		return errors.Newf("gone: more than %d sides", maxDownSides)
	}
	return nil
}

// Check accepts every offer.
func (*offer) Check() error { return nil }

// Check accepts every refuseOffer.
func (*refuseOffer) Check() error { return nil }

// Check accepts every acceptOffers.
func (*acceptOffers) Check() error { return nil }

// Check accepts every ping.
func (*ping) Check() error { return nil }

// Check reports the first field that is out of range.
func (m *blockRequest) Check() error {
	if m.Length <= 0 || m.Length > MaxBlockSize {
		return errors.Newf("want: length %d, want 1 to %d", m.Length, MaxBlockSize)
	}
	if m.Offset < 0 || m.Offset > chunk.MaxChunkSize-m.Length {
		return errors.Newf("want: offset %d out of range", m.Offset)
	}
	return m.Chunk.Check()
}

// Check reports the first field that is out of range.
func (m *block) Check() error {
	if len(m.Data) == 0 || len(m.Data) > MaxBlockSize {
		return errors.Newf("block: %d bytes, want 1 to %d", len(m.Data), MaxBlockSize)
	}
	if m.Offset < 0 || m.Offset > chunk.MaxChunkSize-int64(len(m.Data)) {
		return errors.Newf("block: offset %d out of range", m.Offset)
	}
	return m.Chunk.Check()
}

// Check reports whether Chunk is a valid digest.
func (m *refuseRequest) Check() error { return m.Chunk.Check() }

// Check reports whether Chunk is a valid digest.
func (m *deferRequest) Check() error { return m.Chunk.Check() }

// Check reports whether Chunk is a valid digest.
func (m *cancelTransfer) Check() error { return m.Chunk.Check() }

// messageKinds returns the messages that a connection for weights may carry.
func messageKinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &chunkSets{} })
	k.Register(func() frame.Message { return &chunkUpdate{} })
	k.Register(func() frame.Message { return &downSides{} })
	k.Register(func() frame.Message { return &offer{} })
	k.Register(func() frame.Message { return &refuseOffer{} })
	k.Register(func() frame.Message { return &acceptOffers{} })
	k.Register(func() frame.Message { return &ping{} })
	k.Register(func() frame.Message { return &blockRequest{} })
	k.Register(func() frame.Message { return receivedBlocks.Get().(*block) })
	k.Register(func() frame.Message { return &refuseRequest{} })
	k.Register(func() frame.Message { return &deferRequest{} })
	k.Register(func() frame.Message { return &cancelTransfer{} })
	k.Register(func() frame.Message { return &manifestRequest{} })
	k.Register(func() frame.Message { return &manifestPart{} })
	return k
}
