package swarm

import (
	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// MaxBlock is the most bytes of a chunk that one message carries. It is well
// under frame.MaxFrame, so that pacing is smooth and a live call never waits
// behind much.
const MaxBlock = 256 << 10

// maxIndexes bounds the indexes in one message.
const maxIndexes = chunk.MaxChunks

// maps tells all that the sender knows of one manifest's chunks.
type maps struct {
	Manifest chunk.Digest `msgpack:"manifest"`
	Have     burst.Bits   `msgpack:"have"`
	Seen     burst.Bits   `msgpack:"seen"`
}

// news tells of chunks that the sender has come to hold or heard of.
type news struct {
	Manifest chunk.Digest `msgpack:"manifest"`
	Have     []int        `msgpack:"have,omitempty"`
	Seen     []int        `msgpack:"seen,omitempty"`
	// Tried are the chunks that some side of the region keeps trying to fetch.
	Tried []int `msgpack:"tried,omitempty"`
}

// gone names sides of the region that do not run.
type gone struct {
	Sides []string `msgpack:"sides"`
}

// maxGone bounds the sides in one message.
const maxGone = 1024

// offer invites the receiver to ask for one chunk, pass declines, and ready
// says that an offer would be taken now.
type (
	offer struct{}
	pass  struct{}
	ready struct{}
	ping  struct{}
)

// transferID names one transfer of one chunk. The receiver of the chunk numbers
// its transfers. A transfer that is stopped and begun anew has another number,
// since messages of both may cross.
type transferID struct {
	Chunk  chunk.Digest `msgpack:"chunk"`
	Number uint64       `msgpack:"number"`
}

// want asks for Length bytes of a chunk from Offset on.
type want struct {
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

// lacks answers a want for a chunk that the sender will not send.
type lacks struct {
	transferID `msgpack:",inline"`
}

// later answers a want for a chunk that the sender wants too and still lacks;
// it is sent once the sender has it.
type later struct {
	transferID `msgpack:",inline"`
}

// drop withdraws all wants of one transfer.
type drop struct {
	transferID `msgpack:",inline"`
}

func (*maps) Kind() frame.Kind  { return "maps" }
func (*news) Kind() frame.Kind  { return "news" }
func (*gone) Kind() frame.Kind  { return "gone" }
func (*offer) Kind() frame.Kind { return "offer" }
func (*pass) Kind() frame.Kind  { return "pass" }
func (*ready) Kind() frame.Kind { return "ready" }
func (*ping) Kind() frame.Kind  { return "ping" }
func (*want) Kind() frame.Kind  { return "want" }
func (*block) Kind() frame.Kind { return "block" }
func (*lacks) Kind() frame.Kind { return "lacks" }
func (*later) Kind() frame.Kind { return "later" }
func (*drop) Kind() frame.Kind  { return "drop" }

// Check reports the first field that is out of its domain.
func (m *maps) Check() error {
	if len(m.Have) > maxIndexes/8 || len(m.Seen) > maxIndexes/8 {
		return errors.Newf("maps: longer than %d chunks", maxIndexes)
	}
	return m.Manifest.Check()
}

// Check reports the first field that is out of its domain.
func (m *news) Check() error {
	for _, list := range [][]int{m.Have, m.Seen, m.Tried} {
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
func (m *gone) Check() error {
	if len(m.Sides) > maxGone {
		return errors.Newf("gone: more than %d sides", maxGone)
	}
	return nil
}

// Check accepts every offer.
func (*offer) Check() error { return nil }

// Check accepts every pass.
func (*pass) Check() error { return nil }

// Check accepts every ready.
func (*ready) Check() error { return nil }

// Check accepts every ping.
func (*ping) Check() error { return nil }

// Check reports the first field that is out of its domain.
func (m *want) Check() error {
	if m.Length <= 0 || m.Length > MaxBlock {
		return errors.Newf("want: length %d, want 1 to %d", m.Length, MaxBlock)
	}
	if m.Offset < 0 || m.Offset > chunk.MaxChunkSize-m.Length {
		return errors.Newf("want: offset %d out of range", m.Offset)
	}
	return m.Chunk.Check()
}

// Check reports the first field that is out of its domain.
func (m *block) Check() error {
	if len(m.Data) == 0 || len(m.Data) > MaxBlock {
		return errors.Newf("block: %d bytes, want 1 to %d", len(m.Data), MaxBlock)
	}
	if m.Offset < 0 || m.Offset > chunk.MaxChunkSize-int64(len(m.Data)) {
		return errors.Newf("block: offset %d out of range", m.Offset)
	}
	return m.Chunk.Check()
}

// Check reports whether the chunk is named by a digest.
func (m *lacks) Check() error { return m.Chunk.Check() }

// Check reports whether the chunk is named by a digest.
func (m *later) Check() error { return m.Chunk.Check() }

// Check reports whether the chunk is named by a digest.
func (m *drop) Check() error { return m.Chunk.Check() }

// kinds are the messages that a connection for weights carries.
func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &maps{} })
	k.Register(func() frame.Message { return &news{} })
	k.Register(func() frame.Message { return &gone{} })
	k.Register(func() frame.Message { return &offer{} })
	k.Register(func() frame.Message { return &pass{} })
	k.Register(func() frame.Message { return &ready{} })
	k.Register(func() frame.Message { return &ping{} })
	k.Register(func() frame.Message { return &want{} })
	k.Register(func() frame.Message { return &block{} })
	k.Register(func() frame.Message { return &lacks{} })
	k.Register(func() frame.Message { return &later{} })
	k.Register(func() frame.Message { return &drop{} })
	k.Register(func() frame.Message { return &askManifest{} })
	k.Register(func() frame.Message { return &part{} })
	return k
}
