package direct

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
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
			r := bufio.NewReader(strings.NewReader(tc.in))
			var got []string
			for {
				e, err := readEvent(r)
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

// FuzzReadEvent checks that whatever a target sends, no more bytes are passed on than
// were received.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("\n\nid:x\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(strings.NewReader(string(in)))
		var out strings.Builder
		for {
			e, err := readEvent(r)
			if err != nil {
				break
			}
			out.Write(e.raw)
		}
		if out.Len() > len(in) {
			t.Errorf("received %d bytes, passed on %d", len(in), out.Len())
		}
	})
}
