package shelf

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

const (
	model  = "m"
	pieces = 6
)

// fakeEngine keeps pieces by number. Hooks run inside the calls, where other
// processes would act; taken is what lay there when it took an order.
type fakeEngine struct {
	mu       sync.Mutex
	kept     map[int][]byte
	taken    map[int][]byte
	version  uint64
	orders   uint64
	onGet    func(num int)
	refuse   int
	putFails error
	// silent is set while it answers no question and no order, and takes none;
	// staging goes on. onTheWay is the order that it has not read yet.
	silent   bool
	onTheWay func()
}

// wake has the engine read what is on its way, and answer again.
func (e *fakeEngine) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = false
	if e.onTheWay != nil {
		e.onTheWay()
	}
}

var errSilent = errors.New("no answer")

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return Report{}, errSilent
	}
	return Report{Model: model, Serving: e.version, Orders: e.orders, Born: time.UnixMilli(1)}, nil
}

func (e *fakeEngine) Held(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse > 0 {
		e.refuse--
		return nil, errors.New("connection refused")
	}
	var out []int
	for num := range pieces {
		if e.kept[num] != nil {
			out = append(out, num)
		}
	}
	return out, nil
}

func (e *fakeEngine) Put(_ context.Context, _ string, num int, b []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.putFails != nil {
		return e.putFails
	}
	e.kept[num] = b
	return nil
}

func (e *fakeEngine) Get(_ context.Context, _ string, num int) ([]byte, error) {
	if e.onGet != nil {
		e.onGet(num)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.kept[num]
	if !ok {
		return nil, errors.New("not staged")
	}
	return bytes.Clone(b), nil
}

func (e *fakeEngine) Begin(_ context.Context, _ string, version, _ uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		e.onTheWay = func() { e.take(version) }
		return errSilent
	}
	e.take(version)
	return nil
}

func (e *fakeEngine) take(version uint64) {
	e.taken = maps.Clone(e.kept)
	e.version = version
	e.orders++
}

func piece(version uint64, num int) []byte {
	return []byte(fmt.Sprintf("version %d piece %d", version, num))
}

func manifest(version uint64) chunk.Manifest {
	m := chunk.Manifest{Model: model, Version: fmt.Sprint(version), Whole: chunk.Sum([]byte("whole"))}
	for num := range pieces {
		b := piece(version, num)
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: chunk.Sum(b), Size: int64(len(b))})
		m.Size += int64(len(b))
	}
	return m
}

func newShelf(e *fakeEngine) *Shelf {
	return &Shelf{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Engine: e}
}

func add(t *testing.T, s *Shelf, version uint64) *Edition {
	t.Helper()
	e, err := s.Add(manifest(version), model, version)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func put(t *testing.T, s *Shelf, version uint64, num int) {
	t.Helper()
	b := piece(version, num)
	if err := s.Put(t.Context(), chunk.Sum(b), b); err != nil {
		t.Fatal(err)
	}
}

func wantTaken(t *testing.T, e *fakeEngine, version uint64) {
	t.Helper()
	for num := range pieces {
		if diff := cmp.Diff(string(piece(version, num)), string(e.taken[num])); diff != "" {
			t.Errorf("piece %d at the order (-want +got):\n%s", num, diff)
		}
	}
}

// A caller would be answered from mixed weights: version 3 is named while
// version 2 is loaded, and a chunk of 3 arrives between the check of the
// chunks of 2 and the order. The engine takes what lies there at the order, so
// nothing may be put there until it has taken it.
func TestLoadTakesOneVersion(t *testing.T) {
	e := &fakeEngine{kept: map[int][]byte{}}
	s := newShelf(e)
	two := add(t, s, 2)
	for num := range pieces {
		put(t, s, 2, num)
	}
	add(t, s, 3)
	e.onGet = func(num int) {
		if num == pieces-1 {
			put(t, s, 3, 0)
		}
	}
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err != nil {
		t.Fatal(err)
	}
	wantTaken(t, e, 2)
}

// A caller would be answered from spoilt weights: what was staged whole turns
// bad at the engine before the order. The shelf reads everything back and puts
// a spoilt or missing chunk there again.
func TestLoadMendsWhatTurnedBad(t *testing.T) {
	e := &fakeEngine{kept: map[int][]byte{}}
	s := newShelf(e)
	two := add(t, s, 2)
	for num := range pieces {
		put(t, s, 2, num)
	}
	e.kept[1] = []byte("spoilt")
	delete(e.kept, 4)
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err != nil {
		t.Fatal(err)
	}
	wantTaken(t, e, 2)
}

// No order may be given for weights that are not whole: a chunk is spoilt at
// the engine and this process, started anew, does not have it either.
func TestLoadRefusesWhatIsNotWhole(t *testing.T) {
	e := &fakeEngine{kept: map[int][]byte{}}
	s := newShelf(e)
	two := add(t, s, 2)
	for num := range pieces {
		e.kept[num] = piece(2, num)
	}
	e.kept[3] = []byte("spoilt")
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err == nil {
		t.Error("Load of a spoilt version gave an order")
	}
	if diff := cmp.Diff(uint64(0), e.orders); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// A fleet starts, and every side draws a copy from the origin although the
// weights lie beside it: its engine does not listen yet when it looks. The
// shelf waits for the engine.
func TestListWaitsForItsEngine(t *testing.T) {
	e := &fakeEngine{kept: map[int][]byte{}, refuse: 3}
	for num := range pieces {
		e.kept[num] = piece(1, num)
	}
	s := newShelf(e)
	add(t, s, 1)
	got, err := s.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(pieces, len(got)); diff != "" {
		t.Errorf("chunks listed (-want +got):\n%s", diff)
	}
}

// A side fetches a chunk over and over from its peers: its engine is down and
// does not take it. The chunk is kept until the engine can have it.
func TestPutOutlivesItsEngine(t *testing.T) {
	e := &fakeEngine{kept: map[int][]byte{}, putFails: errors.New("connection refused")}
	s := newShelf(e)
	two := add(t, s, 2)
	for num := range pieces {
		put(t, s, 2, num)
	}
	e.putFails = nil
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err != nil {
		t.Fatal(err)
	}
	wantTaken(t, e, 2)
}

// A caller would be answered from spoilt weights: the process is suspended, or
// its engine slow, while it reads back what it is about to order, and a chunk that
// it had found whole turns bad in that time. An order may be given only while
// every chunk was whole a moment ago; what was seen earlier is looked at again,
// and without that no order is given.
func TestLoadLooksAgainAtWhatItSawLongAgo(t *testing.T) {
	tests := []struct {
		name string
		// holds tells at which of the reads, counted from 0, time passes.
		holds  func(read int) bool
		orders uint64
	}{
		{"stands still at the second chunk", func(read int) bool { return read == 1 }, 1},
		{"stands still at the last chunk", func(read int) bool { return read == pieces-1 }, 1},
		{"stands still in two rounds", func(read int) bool { return read == 2 || read == pieces+2 }, 1},
		{"engine is slow all the while", func(int) bool { return true }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := &fakeEngine{kept: map[int][]byte{}}
			s := newShelf(e)
			now := time.Hour
			s.Awake = func() time.Duration { return now }
			two := add(t, s, 2)
			for num := range pieces {
				put(t, s, 2, num)
			}
			reads := 0
			e.onGet = func(num int) {
				if num != 0 && tc.holds(reads) {
					now += 2 * lateOrder
					e.kept[0] = []byte("spoilt")
				}
				reads++
			}
			err := s.Load(t.Context(), 1, two.Digest, two.Manifest)
			if diff := cmp.Diff(tc.orders, e.orders); diff != "" {
				t.Fatalf("orders, error %v (-want +got):\n%s", err, diff)
			}
			if tc.orders > 0 {
				wantTaken(t, e, 2)
			}
		})
	}
}

// A caller would be answered from mixed weights: an engine does not answer the
// order for version 2 and still has it before it when the wait for it ends, or
// when the process that gave the order ends and another starts. Chunks of version
// 3 come; the engine reads the order and takes what lies there. Nothing may be
// staged until it answers a question.
func TestNothingIsStagedBesideAnUnansweredOrder(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted %t", restarted), func(t *testing.T) {
			e := &fakeEngine{kept: map[int][]byte{}}
			s := newShelf(e)
			two := add(t, s, 2)
			for num := range pieces {
				put(t, s, 2, num)
			}
			e.onGet = func(int) { e.silent = true }
			ctx, cancel := context.WithTimeout(t.Context(), startRetry)
			defer cancel()
			if err := s.Load(ctx, 1, two.Digest, two.Manifest); err == nil {
				t.Fatal("Load of an order without an answer reports none")
			}
			if restarted {
				s = newShelf(e)
				add(t, s, 2)
			}
			three := add(t, s, 3)
			for num := range pieces {
				put(t, s, 3, num)
			}
			ctx, cancel = context.WithTimeout(t.Context(), startRetry)
			defer cancel()
			if err := s.Load(ctx, 1, three.Digest, three.Manifest); err == nil {
				t.Error("an order is given while the one before it may be on its way")
			}
			e.wake()
			wantTaken(t, e, 2)
			e.onGet = nil
			if err := s.Load(t.Context(), 2, three.Digest, three.Manifest); err != nil {
				t.Fatal(err)
			}
			wantTaken(t, e, 3)
		})
	}
}

// Guards against a new version that begins to come a tenth of a second late: each
// side read all that lay at its engine first, though it was of the old version.
func TestOldVersionIsNotReadForANewOne(t *testing.T) {
	e := &fakeEngine{kept: map[int][]byte{}}
	for num := range pieces {
		e.kept[num] = piece(1, num)
	}
	s := newShelf(e)
	one := add(t, s, 1)
	for _, ref := range one.Manifest.Chunks {
		if _, err := s.Get(t.Context(), ref.Digest); err != nil {
			t.Fatal(err)
		}
	}
	two := add(t, s, 2)
	put(t, s, 2, 0)
	got, err := s.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]chunk.Digest{two.Manifest.Chunks[0].Digest}, got); diff != "" {
		t.Errorf("chunks that may lie there (-want +got):\n%s", diff)
	}
}
