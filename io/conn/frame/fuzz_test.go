package frame

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/cockroachdb/errors"
)

type checkedMessage struct {
	Text string `msgpack:"text"`
	Data []byte `msgpack:"data"`
}

func (*checkedMessage) Kind() Kind { return "fuzzed" }

func (f *checkedMessage) Check() error {
	if len(f.Text) > 10 {
		return errors.New("text is too long")
	}
	return nil
}

// FuzzRead passes arbitrary bytes to a Reader: it must return only messages that
// pass Check, or an error, and never panic.
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
	f.Fuzz(func(t *testing.T, b []byte) {
		kinds := Kinds{}
		kinds.Register(func() Message { return &checkedMessage{} })
		r := NewReader(bytes.NewReader(b), kinds)
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
