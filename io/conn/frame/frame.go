// Package frame carries typed messages over a TCP connection between two
// processes of the system. A frame is a four-byte big-endian length, then a
// msgpack header and a msgpack body.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the most bytes that a frame may hold after its length. It
// bounds what a peer can make this process allocate.
const MaxFrame = 1 << 20

// readBuffer is the size in bytes of a reader's buffer; what is longer is read past
// it. An entry has a connection to each of a hundred targets.
const readBuffer = 8 << 10

// lengthSize is the size in bytes of the length before each frame.
const lengthSize = 4

// ErrTooLong is returned for a frame over MaxFrame.
var ErrTooLong = errors.New("frame is longer than the bound")

// Kind names a message type on the wire.
type Kind string

// Message is a typed message. Check is called on every decoded message.
type Message interface {
	Kind() Kind
	Check() error
}

// Header goes before each message. Revision is the highest configuration
// revision that the sender holds, so that one that is behind finds out at
// first contact.
type Header struct {
	Kind     Kind   `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
}

// Kinds makes an empty message of each kind that a connection may carry.
type Kinds map[Kind]func() Message

// Register adds the kind of the message that makeNew makes.
func (k Kinds) Register(makeNew func() Message) {
	k[makeNew().Kind()] = makeNew
}

// Writer writes frames; it is safe for concurrent use. Each frame is handed
// to the connection whole.
type Writer struct {
	mu  sync.Mutex
	w   io.Writer
	buf bytes.Buffer
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// Write writes one message with the revision of the sender.
func (w *Writer) Write(m Message, revision uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buf.Reset()
	w.buf.Write(make([]byte, lengthSize))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&w.buf)
	if err := enc.Encode(Header{Kind: m.Kind(), Revision: revision}); err != nil {
		return errors.Wrapf(err, "encode header of %s", m.Kind())
	}
	if err := enc.Encode(m); err != nil {
		return errors.Wrapf(err, "encode %s", m.Kind())
	}
	n := w.buf.Len() - lengthSize
	if n > MaxFrame {
		return errors.Wrapf(ErrTooLong, "%s of %d bytes", m.Kind(), n)
	}
	binary.BigEndian.PutUint32(w.buf.Bytes(), uint32(n))
	_, err := w.w.Write(w.buf.Bytes())
	return err
}

// Reader reads frames; it is for one goroutine.
type Reader struct {
	r     *bufio.Reader
	kinds Kinds
	buf   []byte
}

// NewReader returns a Reader on r that accepts the given kinds.
func NewReader(r io.Reader, kinds Kinds) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer), kinds: kinds}
}

// Read returns the next message, decoded and checked. Byte slices in the
// message are its own. At the end of the stream it returns io.EOF.
func (r *Reader) Read() (Message, Header, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r.r, length[:]); err != nil {
		return nil, Header{}, err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > MaxFrame {
		return nil, Header{}, errors.Wrapf(ErrTooLong, "%d bytes", n)
	}
	if cap(r.buf) < n {
		r.buf = make([]byte, n)
	}
	b := r.buf[:n]
	if _, err := io.ReadFull(r.r, b); err != nil {
		return nil, Header{}, errors.Wrap(err, "read frame")
	}
	return r.decode(b)
}

func (r *Reader) decode(b []byte) (Message, Header, error) {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(b))
	var h Header
	if err := dec.Decode(&h); err != nil {
		return nil, h, errors.Wrap(err, "decode header")
	}
	makeNew, ok := r.kinds[h.Kind]
	if !ok {
		return nil, h, errors.Newf("unknown message kind %q", h.Kind)
	}
	m := makeNew()
	if err := dec.Decode(m); err != nil {
		return nil, h, errors.Wrapf(err, "decode %s", h.Kind)
	}
	if err := m.Check(); err != nil {
		return nil, h, errors.Wrapf(err, "check %s", h.Kind)
	}
	return m, h, nil
}
