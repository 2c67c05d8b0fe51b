package direct

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/request/space"
	"hawthornferry/io/conn/bound"
)

// Callers must get complete events only, although a target may break off within one.
func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, in string
		want     []string
		wantErr  error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, io.EOF},
		{"broken off within an event", "id: 1\ndata: a\n\nid: 2\ndata", []string{"id: 1\ndata: a\n\n"}, io.ErrUnexpectedEOF},
		{"broken off before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.EOF},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := &eventReader{in: bufio.NewReader(strings.NewReader(tc.in))}
			var got []string
			for {
				e, err := r.next()
				if err != nil {
					if !errors.Is(err, tc.wantErr) {
						t.Errorf("error %v, want %v", err, tc.wantErr)
					}
					break
				}
				got = append(got, string(e.raw))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// A stream must neither skip nor repeat an event, whatever a target that takes it over
// sends.
func TestOnlyNextEventIDIsAccepted(t *testing.T) {
	r := &streamRelay{lastID: 4, hasLastID: true}
	for id, want := range map[uint64]bool{4: false, 5: true, 6: false} {
		if got := r.isNext(event{id: id, hasID: true}, 0); got != want {
			t.Errorf("event %d is next after 4: %t, want %t", id, got, want)
		}
	}
}

// Guards against a stream without an end of an event that is read for ever, against blank lines
// and comments without end, and against large events that are rejected or that fill the memory.
func TestReadEventBounds(t *testing.T) {
	large := "data: " + strings.Repeat("x", bound.MaxEventBytes-10) + "\n\n"
	tests := []struct {
		name, begin, repeat string
		memory              int64
		want                bound.Name
		wantErr             error
	}{
		{"no line end", "", "x", 1 << 30, bound.Event, nil},
		{"lines without a blank one", "id: 1\n", "data: x\n", 1 << 30, bound.Event, nil},
		{"blank lines", "id: 1\n\n", "\n", 1 << 30, bound.Filler, nil},
		{"comments", "id: 1\n\n", ": x\n\n", 1 << 30, bound.Filler, nil},
		{"no memory", "", "x", 4 * smallEvent, "", errNoMemory},
		{"large events and keep-alives", "", ": x\n\n" + large, 1 << 30, "", io.EOF},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			budget := &space.Budget{Limit: tc.memory}
			source := io.LimitReader(io.MultiReader(strings.NewReader(tc.begin), &repeatReader{text: tc.repeat}), int64(8*(len(large)+5)))
			r := &eventReader{in: bufio.NewReaderSize(source, readBuffer), hold: space.Hold{Budget: budget}}
			var err error
			for err == nil {
				_, err = r.next()
			}
			if name, _ := bound.Of(err); name != tc.want || tc.wantErr != nil && !errors.Is(err, tc.wantErr) {
				t.Errorf("cut off at %q with error %v, want %q, %v", name, err, tc.want, tc.wantErr)
			}
			if budget.Peak() > tc.memory/4 {
				t.Errorf("%d bytes held, want at most %d", budget.Peak(), tc.memory/4)
			}
		})
	}
}

// Guards against large events that are not counted as held while slow callers read them.
func TestEventIsHeldUntilItIsSent(t *testing.T) {
	large := "data: " + strings.Repeat("x", 4*smallEvent) + "\n\n"
	budget := &space.Budget{Limit: 1 << 30}
	r := &eventReader{in: bufio.NewReader(&repeatReader{text: large + "data: y\n\n"}), hold: space.Hold{Budget: budget}}
	for range 3 {
		if e, err := r.next(); err != nil || len(e.raw) != len(large) {
			t.Fatalf("event of %d bytes, error %v, want %d", len(e.raw), err, len(large))
		}
		r.deliver()
		// The caller still reads the large event while the next one arrives.
		if _, err := r.next(); err != nil || budget.Used() < int64(len(large)) {
			t.Errorf("%d bytes held, error %v, want at least %d", budget.Used(), err, len(large))
		}
		r.deliver()
	}
	if r.release(); budget.Used() != 0 {
		t.Errorf("%d bytes held at the end", budget.Used())
	}
}

// repeatReader returns a text again and again.
type repeatReader struct {
	text string
	at   int
}

func (r *repeatReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text[(r.at+n)%len(r.text):])
	}
	r.at += n
	return n, nil
}

// FuzzReadEvent checks that whatever a target sends, no more bytes are passed on than
// were received, and no more memory is used than was reserved. The target sends a text, and
// then another one again and again.
func FuzzReadEvent(f *testing.F) {
	const (
		sent   = 16 * smallEvent
		memory = 8 * smallEvent
	)
	f.Add("id: 1\ndata: a\n\n", "data: b\n\n")
	f.Add("\n\nid:x\n\n", "\r\n")
	f.Add("data: ", "x")
	f.Fuzz(func(t *testing.T, begin, repeat string) {
		if repeat == "" {
			return
		}
		budget := &space.Budget{Limit: memory}
		source := io.LimitReader(io.MultiReader(strings.NewReader(begin), &repeatReader{text: repeat}), sent)
		r := &eventReader{in: bufio.NewReaderSize(source, readBuffer), hold: space.Hold{Budget: budget}}
		out := 0
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			out += len(e.raw)
			if n := int64(cap(e.raw)); n > max(2*smallEvent, budget.Used()) {
				t.Errorf("event takes %d bytes, %d are reserved", n, budget.Used())
			}
		}
		if out > sent {
			t.Errorf("received %d bytes, passed on %d", sent, out)
		}
		if budget.Peak() > memory/4 {
			t.Errorf("%d bytes held, want at most %d", budget.Peak(), memory/4)
		}
	})
}
