package direct

import (
	"bufio"
	"io"
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/request/space"
	"hawthornferry/core/request/table"
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

// Guards against a stream that skips or repeats an event at a target that takes it over, or
// that is cut off because its IDs rise by more than one.
func TestEventsArePassedOnInTheOrderOfTheirIDs(t *testing.T) {
	const most = math.MaxUint64
	tests := []struct {
		name string
		// step is the largest one of the service that is known, 0 for none; last is what the
		// caller has.
		step, last uint64
		// resumed is set if the caller resumes the stream and has nothing of the response yet.
		resumed bool
		// taken are the events that the present target sends, and refused the first that is not
		// passed on after them.
		taken, refused []string
	}{
		{"next by one", 1, 4, false, []string{"5", "6"}, []string{"6"}},
		{"again", 1, 4, false, nil, []string{"4"}},
		{"back", 1, 4, false, []string{"5"}, []string{"3"}},
		{"one left out at the change", 1, 4, false, nil, []string{"6"}},
		{"a large step within a target's stream", 1, 4, false, []string{"5", "9", "5000"}, []string{"5000"}},
		{"next by five", 5, 20, false, []string{"25", "30"}, []string{"30"}},
		{"five, one left out at the change", 5, 20, false, nil, []string{"30"}},
		{"fewer than a step", 5, 20, false, []string{"23", "28"}, []string{"28"}},
		{"no step known, next by one", 0, 20, false, []string{"21", "27"}, []string{"27"}},
		{"no step known, left out", 0, 20, false, nil, []string{"22"}},
		{"no step known, resumed", 0, 20, true, []string{"77", "78"}, []string{"78"}},
		{"no step known, resumed again", 0, 20, true, nil, []string{"20"}},
		{"resumed too late", 1, 20, true, nil, []string{"22"}},
		{"without IDs between", 1, 4, false, []string{"", "5", "", "6"}, []string{"6"}},
		{"the upper end", 1, most - 1, false, []string{strconv.FormatUint(most, 10)}, []string{strconv.FormatUint(most, 10)}},
		{"over the upper end", 1, most, false, nil, []string{"0"}},
		{"over 64 bits", 1, 4, false, []string{"5"}, []string{"18446744073709551616"}},
		{"no number", 1, 4, false, []string{"5"}, []string{"six"}},
		{"below zero", 1, 4, false, nil, []string{"-5"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{}
			if tc.step > 0 {
				s.eventSteps.record("svc", tc.step)
			}
			f := &streamForwarder{streamRelay: &streamRelay{server: s, q: &request{service: table.Service{Name: "svc"}}, lastID: tc.last, hasLastID: true, headSent: !tc.resumed}}
			check := func(id string) error {
				var e event
				e.readField([]byte("id: " + id))
				if id == "" {
					e = event{}
				}
				err := f.checkOrder(e)
				if err == nil && e.hasID {
					f.lastID = e.id
				}
				return err
			}
			for _, id := range tc.taken {
				if err := check(id); err != nil {
					t.Errorf("event %s: %v", id, err)
				}
			}
			for _, id := range tc.refused {
				if check(id) == nil {
					t.Errorf("event %s was passed on", id)
				}
			}
		})
	}
}

// Guards against a handover at which an event is left out that the former target has sent, or
// is sent twice, whatever the IDs rise by.
func TestBufferedEventsTellWhatFollows(t *testing.T) {
	f := &streamForwarder{
		streamRelay: &streamRelay{server: &Server{}, q: &request{}, lastID: 10, hasLastID: true},
		pending:     &handover{buffered: []event{{}, {id: 17, hasID: true}, {id: 30, hasID: true}}},
	}
	for id, want := range map[uint64]bool{9: false, 10: false, 12: true, 17: true, 18: false, 30: false} {
		if got := f.mayContinueWith(event{id: id, hasID: true}) == nil; got != want {
			t.Errorf("event %d continues the stream: %t, want %t", id, got, want)
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
