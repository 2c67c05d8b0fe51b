// Package frame encodes typed messages for a TCP connection between two
// processes of the system. A frame is a four-byte big-endian length, then a
// msgpack header and a msgpack body. Package link reads and writes the frames;
// the packages that define messages implement Message and register them in
// Kinds.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"hawthornferry/io/conn/bound"
)

// MaxFrame is the maximum size in bytes of a frame without its length prefix.
// It limits how much memory a peer can make this process allocate.
const MaxFrame = bound.MaxFrameBytes

// readBuffer is the size in bytes of a reader's buffer. It is small because an
// entry has a connection to each of a hundred targets. Load reports and requests
// fit in; the remainder of a longer frame is read directly into a shared buffer.
const readBuffer = 2 << 10

// maxKeptBuffer is the capacity in bytes up to which a buffer is kept for further frames.
// Longer frames are rare, and each kept buffer would stay as large as its longest frame.
const maxKeptBuffer = 64 << 10

// buffers holds buffers for the frames that are being encoded or decoded. They are shared
// by all connections, since most of these are idle at any time.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// firstBuffer is the size in bytes of the buffer for a longer frame before any of it has
// arrived. It grows with what arrives, so that a peer that announces much and sends little
// takes no memory.
const firstBuffer = 64 << 10

// lengthSize is the size in bytes of the length prefix of each frame.
const lengthSize = 4

// ErrTooLong is returned for a frame longer than MaxFrame.
var ErrTooLong = errors.New("frame exceeds the maximum size")

// Kind identifies a message type on the wire.
type Kind string

// Message is a typed message. Check validates it; Reader calls Check on every
// message that it decodes.
type Message interface {
	Kind() Kind
	Check() error
}

// Header precedes each message. Revision is the highest configuration revision
// that the sender has, so that a receiver with an older one learns of it from
// the first message.
type Header struct {
	Kind     Kind   `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
}

// Kinds maps each message kind that a connection accepts to a function that
// returns an empty message to decode into.
type Kinds map[Kind]func() Message

// Register adds the kind of the message that makeNew returns.
func (k Kinds) Register(makeNew func() Message) {
	k[makeNew().Kind()] = makeNew
}

// Writer writes frames; it is safe for concurrent use. Each frame is written
// with a single call of Write on the underlying writer.
type Writer struct {
	mu sync.Mutex
	w  io.Writer
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// Write writes m as one frame. revision goes into its Header.
func (w *Writer) Write(m Message, revision uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	buf := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buf)
	if err := encode(buf, m, revision); err != nil {
		return err
	}
	_, err := w.w.Write(buf.Bytes())
	return err
}

func releaseBuffer(b *bytes.Buffer) {
	if b.Cap() > maxKeptBuffer {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// encode appends m as one frame to buf, which is empty.
func encode(buf *bytes.Buffer, m Message, revision uint64) error {
	buf.Write(make([]byte, lengthSize))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	if err := enc.Encode(Header{Kind: m.Kind(), Revision: revision}); err != nil {
		return errors.Wrapf(err, "encode header of %s", m.Kind())
	}
	if err := enc.Encode(m); err != nil {
		return errors.Wrapf(err, "encode %s", m.Kind())
	}
	n := buf.Len() - lengthSize
	if n > MaxFrame {
		return errors.Wrapf(ErrTooLong, "%s of %d bytes", m.Kind(), n)
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(n))
	return nil
}

// Reader reads frames; it is not safe for concurrent use.
type Reader struct {
	// MaxBytes limits the frames, without their length prefixes, and Bound names the limit.
	MaxBytes int
	Bound    bound.Name
	// OnPartial, if set, is called when a frame has begun to arrive and its rest is awaited, with
	// true, and with false once it is complete.
	OnPartial func(awaited bool)

	r     *bufio.Reader
	kinds Kinds
}

// NewReader returns a Reader that reads from r and accepts the given kinds, in frames of at
// most MaxFrame bytes.
func NewReader(r io.Reader, kinds Kinds) *Reader {
	return &Reader{MaxBytes: MaxFrame, Bound: bound.Frame, r: bufio.NewReaderSize(r, readBuffer), kinds: kinds}
}

// Read returns the next message after decoding and checking it. Byte slices in
// the message are copies and stay valid after the next Read. At the end of the
// stream it returns io.EOF.
func (r *Reader) Read() (Message, Header, error) {
	if _, err := r.r.Peek(1); err != nil {
		return nil, Header{}, err
	}
	awaited := r.OnPartial != nil && !r.isBuffered()
	if awaited {
		r.OnPartial(true)
	}
	buf := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buf)
	b, err := r.readFrame(buf)
	if err != nil {
		return nil, Header{}, err
	}
	if awaited {
		r.OnPartial(false)
	}
	m, h, err := r.decode(b)
	if len(b) <= r.r.Size() {
		if _, discardErr := r.r.Discard(len(b)); discardErr != nil {
			return nil, h, errors.Wrap(discardErr, "read frame")
		}
	}
	return m, h, err
}

// readFrame reads the length prefix and what follows it. A frame that fits into the reader's
// buffer stays there until the caller discards it; a longer one is read into buf.
func (r *Reader) readFrame(buf *bytes.Buffer) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r.r, length[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > r.MaxBytes {
		return nil, errors.Mark(bound.Exceeded(r.Bound, int64(r.MaxBytes)), ErrTooLong)
	}
	if n > r.r.Size() {
		err := r.readLong(buf, n)
		return buf.Bytes(), errors.Wrap(err, "read frame")
	}
	b, err := r.r.Peek(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return b, errors.Wrap(err, "read frame")
}

// isBuffered reports whether the whole of the next frame has arrived.
func (r *Reader) isBuffered() bool {
	n := r.r.Buffered()
	if n < lengthSize {
		return false
	}
	// Peek does not fail for bytes that are buffered.
	length, _ := r.r.Peek(lengthSize)
	return n-lengthSize >= int(binary.BigEndian.Uint32(length))
}

// readLong reads the n bytes that follow the length prefix into buf, which grows with what
// arrives.
func (r *Reader) readLong(buf *bytes.Buffer, n int) error {
	for buf.Len() < n {
		part := min(n-buf.Len(), max(firstBuffer, buf.Len()))
		buf.Grow(part)
		b := buf.AvailableBuffer()[:part]
		if _, err := io.ReadFull(r.r, b); err != nil {
			return err
		}
		buf.Write(b)
	}
	return nil
}

// valuesPerFrame is how many values a frame holds: the header and the message.
const valuesPerFrame = 2

func (r *Reader) decode(b []byte) (Message, Header, error) {
	if err := bound.CheckShape(b, valuesPerFrame); err != nil {
		return nil, Header{}, err
	}
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
