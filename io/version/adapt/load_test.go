package adapt

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
	model     = "m"
	numChunks = 6
)

// fakeEngine stages chunks by number. onGet runs inside Get, at the moment when other
// processes would act. loaded is what was staged when the engine accepted an order.
type fakeEngine struct {
	mu      sync.Mutex
	staged  map[int][]byte
	loaded  map[int][]byte
	version uint64
	orders  uint64
	onGet   func(num int)
	// heldFailures is how many calls of HeldNumbers still fail; putErr is the error of Put.
	heldFailures int
	putErr       error
	// While silent is set the engine answers no Report and no order and does not read
	// orders, though staging still works. pendingOrder is the order that it has not read
	// yet.
	silent       bool
	pendingOrder func()
}

// resume has the engine accept the pending order and answer again.
func (e *fakeEngine) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = false
	if e.pendingOrder != nil {
		e.pendingOrder()
	}
}

var errSilent = errors.New("no answer")

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return Report{}, errSilent
	}
	return Report{Model: model, ServedVersion: e.version, AcceptedOrders: e.orders, StartedAt: time.UnixMilli(1)}, nil
}

func (e *fakeEngine) HeldNumbers(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heldFailures > 0 {
		e.heldFailures--
		return nil, errors.New("connection refused")
	}
	var out []int
	for num := range numChunks {
		if e.staged[num] != nil {
			out = append(out, num)
		}
	}
	return out, nil
}

func (e *fakeEngine) Put(_ context.Context, _ string, num int, b []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.putErr != nil {
		return e.putErr
	}
	e.staged[num] = b
	return nil
}

func (e *fakeEngine) Get(_ context.Context, _ string, num int, _ int64) ([]byte, error) {
	if e.onGet != nil {
		e.onGet(num)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.staged[num]
	if !ok {
		return nil, errors.New("not staged")
	}
	return bytes.Clone(b), nil
}

func (e *fakeEngine) OrderLoad(_ context.Context, _ string, version, _ uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		e.pendingOrder = func() { e.acceptOrder(version) }
		return errSilent
	}
	e.acceptOrder(version)
	return nil
}

// acceptOrder loads what is staged.
func (e *fakeEngine) acceptOrder(version uint64) {
	e.loaded = maps.Clone(e.staged)
	e.version = version
	e.orders++
}

func chunkBytes(version uint64, num int) []byte {
	return []byte(fmt.Sprintf("version %d chunk %d", version, num))
}

func manifest(version uint64) chunk.Manifest {
	m := chunk.Manifest{Model: model, Version: fmt.Sprint(version), ContentDigest: chunk.DigestOf([]byte("whole"))}
	for num := range numChunks {
		b := chunkBytes(version, num)
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: chunk.DigestOf(b), Size: int64(len(b))})
		m.Size += int64(len(b))
	}
	return m
}

func newAdapter(e *fakeEngine) *Adapter {
	return &Adapter{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Engine: e}
}

func addVersion(t *testing.T, s *Adapter, version uint64) *KnownVersion {
	t.Helper()
	e, err := s.AddManifest(manifest(version), model, version)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func putChunk(t *testing.T, s *Adapter, version uint64, num int) {
	t.Helper()
	b := chunkBytes(version, num)
	if err := s.Put(t.Context(), chunk.DigestOf(b), b); err != nil {
		t.Fatal(err)
	}
}

func checkLoaded(t *testing.T, e *fakeEngine, version uint64) {
	t.Helper()
	for num := range numChunks {
		if diff := cmp.Diff(string(chunkBytes(version, num)), string(e.loaded[num])); diff != "" {
			t.Errorf("chunk %d that was loaded (-want +got):\n%s", num, diff)
		}
	}
}

// Guards against a load of mixed weights. Version 3 is announced while version 2 is
// being loaded, and a chunk of 3 arrives after the chunks of 2 were verified and before
// the order. The engine loads what is staged when it accepts the order, so nothing may
// be staged until it has.
func TestLoadDoesNotMixVersions(t *testing.T) {
	e := &fakeEngine{staged: map[int][]byte{}}
	s := newAdapter(e)
	two := addVersion(t, s, 2)
	for num := range numChunks {
		putChunk(t, s, 2, num)
	}
	addVersion(t, s, 3)
	e.onGet = func(num int) {
		if num == numChunks-1 {
			putChunk(t, s, 3, 0)
		}
	}
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err != nil {
		t.Fatal(err)
	}
	checkLoaded(t, e, 2)
}

// Guards against a load of corrupt weights: chunks become corrupt or go missing at the
// engine after they were staged. Load reads every chunk back and stages these again.
func TestLoadRestagesCorruptChunks(t *testing.T) {
	e := &fakeEngine{staged: map[int][]byte{}}
	s := newAdapter(e)
	two := addVersion(t, s, 2)
	for num := range numChunks {
		putChunk(t, s, 2, num)
	}
	e.staged[1] = []byte("corrupt")
	delete(e.staged, 4)
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err != nil {
		t.Fatal(err)
	}
	checkLoaded(t, e, 2)
}

// Guards against an order to load corrupt weights: a chunk is corrupt at the engine, and
// the process has been restarted and does not have it in memory.
func TestLoadRefusesCorruptChunkNotInMemory(t *testing.T) {
	e := &fakeEngine{staged: map[int][]byte{}}
	s := newAdapter(e)
	two := addVersion(t, s, 2)
	for num := range numChunks {
		e.staged[num] = chunkBytes(2, num)
	}
	e.staged[3] = []byte("corrupt")
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err == nil {
		t.Error("Load succeeded although a chunk is corrupt")
	}
	if diff := cmp.Diff(uint64(0), e.orders); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// Guards against a fleet that starts and reads a copy of the weights from the origin for
// every side, although each engine has them: the engine does not listen yet when its
// side lists its chunks. List waits for the engine.
func TestListWaitsForEngineStart(t *testing.T) {
	e := &fakeEngine{staged: map[int][]byte{}, heldFailures: 3}
	for num := range numChunks {
		e.staged[num] = chunkBytes(1, num)
	}
	s := newAdapter(e)
	addVersion(t, s, 1)
	got, err := s.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(numChunks, len(got)); diff != "" {
		t.Errorf("chunks listed (-want +got):\n%s", diff)
	}
}

// Guards against a side that fetches the same chunk from its peers again and again
// because its engine is down and does not accept it. The chunk is kept in memory until
// the engine accepts it.
func TestPutKeepsChunkWhileEngineIsDown(t *testing.T) {
	e := &fakeEngine{staged: map[int][]byte{}, putErr: errors.New("connection refused")}
	s := newAdapter(e)
	two := addVersion(t, s, 2)
	for num := range numChunks {
		putChunk(t, s, 2, num)
	}
	e.putErr = nil
	if err := s.Load(t.Context(), 1, two.Digest, two.Manifest); err != nil {
		t.Fatal(err)
	}
	checkLoaded(t, e, 2)
}

// Guards against a load of corrupt weights: the process is suspended, or its engine
// slow, while it reads the chunks back, and one that it has already verified becomes
// corrupt in that time. An order may be given only if every chunk was verified at most
// maxReadBackAge ago. Outdated chunks are verified again; if some are outdated each time
// no order is given.
func TestLoadVerifiesOutdatedChunksAgain(t *testing.T) {
	tests := []struct {
		name string
		// stalls reports whether the read with this index, counted from 0, takes too long.
		stalls func(read int) bool
		orders uint64
	}{
		{"stalls at the second chunk", func(read int) bool { return read == 1 }, 1},
		{"stalls at the last chunk", func(read int) bool { return read == numChunks-1 }, 1},
		{"stalls in two rounds", func(read int) bool { return read == 2 || read == numChunks+2 }, 1},
		{"stalls at every chunk", func(int) bool { return true }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := &fakeEngine{staged: map[int][]byte{}}
			s := newAdapter(e)
			now := time.Hour
			s.Uptime = func() time.Duration { return now }
			two := addVersion(t, s, 2)
			for num := range numChunks {
				putChunk(t, s, 2, num)
			}
			reads := 0
			e.onGet = func(num int) {
				if num != 0 && tc.stalls(reads) {
					now += 2 * corruptionGrace
					e.staged[0] = []byte("corrupt")
				}
				reads++
			}
			err := s.Load(t.Context(), 1, two.Digest, two.Manifest)
			if diff := cmp.Diff(tc.orders, e.orders); diff != "" {
				t.Fatalf("orders, error %v (-want +got):\n%s", err, diff)
			}
			if tc.orders > 0 {
				checkLoaded(t, e, 2)
			}
		})
	}
}

// Guards against a load of mixed weights. An engine has received the order for version 2
// but not read it when the wait for its answer ends, or when the process that gave the
// order is replaced by another. Then chunks of version 3 arrive, and the engine reads
// the order and loads what is staged. Nothing may be staged until it answers a request.
func TestNothingIsStagedWhileOrderIsUnanswered(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted %t", restarted), func(t *testing.T) {
			e := &fakeEngine{staged: map[int][]byte{}}
			s := newAdapter(e)
			two := addVersion(t, s, 2)
			for num := range numChunks {
				putChunk(t, s, 2, num)
			}
			e.onGet = func(int) { e.silent = true }
			ctx, cancel := context.WithTimeout(t.Context(), enginePollInterval)
			defer cancel()
			if err := s.Load(ctx, 1, two.Digest, two.Manifest); err == nil {
				t.Fatal("Load succeeded although the engine did not answer the order")
			}
			if restarted {
				s = newAdapter(e)
				addVersion(t, s, 2)
			}
			three := addVersion(t, s, 3)
			for num := range numChunks {
				putChunk(t, s, 3, num)
			}
			ctx, cancel = context.WithTimeout(t.Context(), enginePollInterval)
			defer cancel()
			if err := s.Load(ctx, 1, three.Digest, three.Manifest); err == nil {
				t.Error("Load succeeded while the order before it may be on its way")
			}
			e.resume()
			checkLoaded(t, e, 2)
			e.onGet = nil
			if err := s.Load(t.Context(), 2, three.Digest, three.Manifest); err != nil {
				t.Fatal(err)
			}
			checkLoaded(t, e, 3)
		})
	}
}

// Guards against a delay of a tenth of a second before a new version is fetched: each
// side first read back all chunks at its engine, although they were of the old version.
func TestListOmitsChunksOfOldVersion(t *testing.T) {
	e := &fakeEngine{staged: map[int][]byte{}}
	for num := range numChunks {
		e.staged[num] = chunkBytes(1, num)
	}
	s := newAdapter(e)
	one := addVersion(t, s, 1)
	for _, ref := range one.Manifest.Chunks {
		if _, err := s.Get(t.Context(), ref.Digest); err != nil {
			t.Fatal(err)
		}
	}
	two := addVersion(t, s, 2)
	putChunk(t, s, 2, 0)
	got, err := s.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]chunk.Digest{two.Manifest.Chunks[0].Digest}, got); diff != "" {
		t.Errorf("chunks listed (-want +got):\n%s", diff)
	}
}
