package gossip

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func drawState(t *rapid.T, version uint64, label string) State {
	n := rapid.IntRange(0, 6).Draw(t, label)
	var items []Item
	for i := range n {
		if rapid.Bool().Draw(t, "present") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "body")
			items = append(items, NewItem(fmt.Sprintf("item%d", i), body))
		}
	}
	s, err := NewState(version, items)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestDeltaLeadsToTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawState(t, 1, "a"), drawState(t, 2, "b")
		got, err := apply(a, diff(TopicDocument, a, b))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(b, got, cmp.AllowUnexported(Item{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("state (-want +got):\n%s", diff)
		}
	})
}

// A faulty peer sends a delta with one section altered. The result has another
// digest than announced, so the process keeps the state it holds: otherwise it
// would serve a document that no operator wrote.
func TestAlteredDeltaIsRefused(t *testing.T) {
	a, b := documentState(1), documentState(2)
	tests := []struct {
		name  string
		alter func(*Delta)
	}{
		{name: "body", alter: func(d *Delta) { d.Put[0].Body = []byte("altered") }},
		{name: "missing", alter: func(d *Delta) { d.Put = d.Put[1:] }},
		{name: "kept", alter: func(d *Delta) { d.Drop = nil }},
		{name: "from", alter: func(d *Delta) { d.From.Digest[0]++ }},
		{name: "version", alter: func(d *Delta) { d.To.Digest[0]++ }},
	}
	for _, tc := range tests {
		d := diff(TopicDocument, a, b)
		tc.alter(&d)
		if got, err := apply(a, d); err == nil {
			t.Errorf("%s: got version %d, want an error", tc.name, got.Mark.Version)
		}
	}
}

func TestSplitFitsMessages(t *testing.T) {
	var items []Item
	for i := range 40 {
		items = append(items, NewItem(fmt.Sprint(i), make([]byte, MaxBody)))
	}
	s, err := NewState(1, items)
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{pending: map[Topic]*Delta{}}
	var whole *Delta
	parts := split(diff(TopicVMs, State{}, s))
	for _, part := range parts {
		if part.size() > 2*maxPartBytes {
			t.Errorf("part has %d bytes, want at most %d", part.size(), 2*maxPartBytes)
		}
		whole = p.collect(part)
	}
	got, err := apply(State{}, *whole)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Mark, got.Mark); diff != "" {
		t.Errorf("mark over %d parts (-want +got):\n%s", len(parts), diff)
	}
}
