package direct

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// Callers get whole events only: a target may stop in the middle of one.
func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, in string
		want     []string
		end      error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, io.EOF},
		{"cut in an event", "id: 1\ndata: a\n\nid: 2\ndata", []string{"id: 1\ndata: a\n\n"}, io.ErrUnexpectedEOF},
		{"cut before its end", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"nothing", "", nil, io.EOF},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := bufio.NewReader(strings.NewReader(tc.in))
			var got []string
			for {
				e, err := readEvent(r)
				if err != nil {
					if !errors.Is(err, tc.end) {
						t.Errorf("ends with %v, want %v", err, tc.end)
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

// A caller's stream must miss no event and have none twice, whatever a target
// that takes over sends.
func TestEventsFollowEachOther(t *testing.T) {
	r := &streamRelay{last: 4, hasLast: true}
	for id, want := range map[uint64]bool{4: false, 5: true, 6: false} {
		if got := r.follows(event{id: id, hasID: true}, 0); got != want {
			t.Errorf("event %d after 4 follows: %t, want %t", id, got, want)
		}
	}
}

// FuzzReadEvent reads what any target may send: what is passed on is what came.
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
			t.Errorf("%d bytes came, %d were passed on", len(in), out.Len())
		}
	})
}
