package weight

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/version/chunk"
)

const kib = 1 << 10

func mustAdd(t *testing.T, s *Catalog, spec Spec) (chunk.Digest, chunk.Manifest) {
	t.Helper()
	d, _, err := s.Add(spec)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := s.Manifest(d)
	m, err := chunk.Decode(b, d)
	if err != nil {
		t.Fatal(err)
	}
	return d, m
}

func TestManifestMatchesChunks(t *testing.T) {
	s := &Catalog{}
	spec := Spec{Model: "m", Version: "1", Size: 10*kib + 1, ChunkSize: 4 * kib, Seed: 1}
	_, m := mustAdd(t, s, spec)
	var whole []byte
	for _, c := range m.Chunks {
		b, _ := s.Chunk(c.Digest)
		if diff := cmp.Diff(c, chunk.Ref{Digest: chunk.DigestOf(b), Size: int64(len(b))}); diff != "" {
			t.Errorf("chunk (-want +got):\n%s", diff)
		}
		whole = append(whole, b...)
	}
	if diff := cmp.Diff(m.ContentDigest, chunk.DigestOf(whole)); diff != "" {
		t.Errorf("whole (-want +got):\n%s", diff)
	}
}

func TestSharedChunks(t *testing.T) {
	s := &Catalog{}
	spec := Spec{Model: "m", Version: "1", Size: 16 * kib, ChunkSize: 4 * kib, Seed: 1}
	d, one := mustAdd(t, s, spec)
	spec.Version, spec.Seed, spec.ShareWith, spec.Shared = "2", 2, d, 3
	_, two := mustAdd(t, s, spec)
	var got []bool
	for i := range one.Chunks {
		got = append(got, one.Chunks[i] == two.Chunks[i])
	}
	if diff := cmp.Diff([]bool{true, true, true, false}, got); diff != "" {
		t.Errorf("shared chunks (-want +got):\n%s", diff)
	}
}

func TestAddRefuses(t *testing.T) {
	tests := []struct {
		name string
		spec Spec
	}{
		{name: "no size", spec: Spec{Model: "m", Version: "1", ChunkSize: 1}},
		{name: "chunk too large", spec: Spec{Model: "m", Version: "1", Size: 1, ChunkSize: chunk.MaxChunkSize + 1}},
		{name: "too many chunks", spec: Spec{Model: "m", Version: "1", Size: chunk.MaxChunks + 1, ChunkSize: 1}},
		{name: "nothing to share with", spec: Spec{Model: "m", Version: "1", Size: 1, ChunkSize: 1, ShareWith: "sha256:0"}},
	}
	for _, tc := range tests {
		if _, _, err := (&Catalog{}).Add(tc.spec); err == nil {
			t.Errorf("%s: no error", tc.name)
		}
	}
}

// Each fault of the origin shows in the response: a chunk with another digest, a
// body that ends early or an error status. A fault for every second request
// leaves the first one alone. Only the bytes that were sent are counted.
func TestOriginFaults(t *testing.T) {
	s := &Catalog{}
	_, m := mustAdd(t, s, Spec{Model: "m", Version: "1", Size: 8 * kib, ChunkSize: 8 * kib, Seed: 1})
	tests := []struct {
		name   string
		faults string
		status int
		whole  bool
		good   bool
		bytes  int64
	}{
		{name: "none", faults: `{}`, status: 200, whole: true, good: true, bytes: 8 * kib},
		{name: "corrupt", faults: `{"corruptEvery":1}`, status: 200, whole: true, bytes: 8 * kib},
		{name: "short", faults: `{"shortEvery":1}`, status: 200, bytes: 4 * kib},
		{name: "status", faults: `{"status":503,"statusEvery":1}`, status: 503, whole: true},
		{name: "every second", faults: `{"corruptEvery":2}`, status: 200, whole: true, good: true, bytes: 8 * kib},
	}
	for _, tc := range tests {
		o := &Origin{Catalog: s, LinkRate: 1 << 30, MaxTransfers: 4, Clock: clockwork.NewRealClock()}
		srv := httptest.NewServer(o.Handler())
		setFaults(t, srv.URL, tc.faults)
		resp, err := http.Get(srv.URL + "/v1/chunks/" + string(m.Chunks[0].Digest))
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		got := []any{resp.StatusCode, err == nil, chunk.DigestOf(b) == m.Chunks[0].Digest, o.sentBytes.Load()}
		if diff := cmp.Diff([]any{tc.status, tc.whole, tc.good, tc.bytes}, got); diff != "" {
			t.Errorf("%s: status, whole, good, bytes (-want +got):\n%s", tc.name, diff)
		}
		srv.Close()
	}
}

// A stalled transfer sends half of the chunk and then nothing, with the
// connection open. Once the fault is removed it sends the rest.
func TestStalledTransfer(t *testing.T) {
	s := &Catalog{}
	_, m := mustAdd(t, s, Spec{Model: "m", Version: "1", Size: 8 * kib, ChunkSize: 8 * kib, Seed: 1})
	o := &Origin{Catalog: s, LinkRate: 1 << 30, MaxTransfers: 4, Clock: clockwork.NewRealClock()}
	srv := httptest.NewServer(o.Handler())
	defer srv.Close()
	setFaults(t, srv.URL, `{"stallEvery":1}`)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, srv.URL+"/v1/chunks/"+string(m.Chunks[0].Digest), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	half := make([]byte, 4*kib)
	if _, err := io.ReadFull(resp.Body, half); err != nil {
		t.Fatal(err)
	}
	setFaults(t, srv.URL, `{}`)
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.Chunks[0].Digest, chunk.DigestOf(append(half, rest...))); diff != "" {
		t.Errorf("chunk (-want +got):\n%s", diff)
	}
}

// A request beyond MaxTransfers gets status 429 with Retry-After, so that it
// takes no bandwidth from the transfers under way.
func TestTooManyTransfers(t *testing.T) {
	s := &Catalog{}
	_, m := mustAdd(t, s, Spec{Model: "m", Version: "1", Size: kib, ChunkSize: kib, Seed: 1})
	o := &Origin{Catalog: s, LinkRate: 1 << 30, MaxTransfers: 0, Clock: clockwork.NewRealClock()}
	w := httptest.NewRecorder()
	o.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/chunks/"+string(m.Chunks[0].Digest), nil))
	if diff := cmp.Diff("429 1", fmt.Sprint(w.Code, " ", w.Header().Get("Retry-After"))); diff != "" {
		t.Errorf("status and Retry-After (-want +got):\n%s", diff)
	}
}

func setFaults(t *testing.T, url, faults string) {
	t.Helper()
	resp, err := http.Post(url+"/control/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("faults %s: status %d", faults, resp.StatusCode)
	}
}
