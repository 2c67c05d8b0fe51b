package frame

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
)

type checkedMessage struct {
	Text string            `msgpack:"text"`
	Data []byte            `msgpack:"data"`
	List []Header          `msgpack:"list"`
	Map  map[string]Header `msgpack:"map"`
}

func (*checkedMessage) Kind() Kind { return "fuzzed" }

func (f *checkedMessage) Check() error {
	if len(f.Text) > 10 {
		return errors.New("text is too long")
	}
	return nil
}

// maxDecodeBytes is how much memory a frame may take besides 64 bytes for each of its own, to which
// an element without content may decode.
const maxDecodeBytes = 1 << 20

// FuzzRead passes arbitrary bytes to a Reader: it must return only messages that
// pass Check, or an error, never panic, and not allocate what the bytes only announce.
func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	for _, m := range []*checkedMessage{{Text: "a"}, {Data: []byte{1, 2}}} {
		if err := w.Write(m, 3); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(buf.Bytes())
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrame+1))
	f.Add([]byte{0, 0, 0, 3, 0xc1, 0xff, 0xdf})
	f.Add(append([]byte{0, 15, 0xff, 0xff}, "\x82\xa1k\xa6fuzzed\xa1r\x00\x81\xa4list\xdd\xff\xff\xff\xff"...))
	f.Add(append([]byte{0, 0, 0, 24}, "\x82\xa1k\xa6fuzzed\xa1r\x00\x81\xa4list\xdd\x01\xff\xff\xff"...))
	f.Add(append([]byte{0, 0, 0, 23}, "\x82\xa1k\xa6fuzzed\xa1r\x00\x81\xa3map\xdf\x01\xff\xff\xff"...))
	f.Fuzz(func(t *testing.T, b []byte) {
		kinds := Kinds{}
		kinds.Register(func() Message { return &checkedMessage{} })
		r := NewReader(bytes.NewReader(b), kinds)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		defer func() {
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > uint64(64*len(b)+maxDecodeBytes) {
				t.Errorf("%d bytes allocated for %d", n, len(b))
			}
		}()
		for {
			m, _, err := r.Read()
			if err != nil {
				return
			}
			if err := m.Check(); err != nil {
				t.Fatalf("Read returned a message that fails its check: %v", err)
			}
		}
	})
}

// Guards against allocating a buffer for a frame longer than MaxFrame: Read must
// fail as soon as it has the length. The test gives it only the length.
func TestReadRejectsTooLongFrame(t *testing.T) {
	b := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	_, _, err := NewReader(bytes.NewReader(b), Kinds{}).Read()
	if !errors.Is(err, ErrTooLong) {
		t.Errorf("error is %v, want %v", err, ErrTooLong)
	}
}
