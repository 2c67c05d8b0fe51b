package adapt

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/tree"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Delays and limits of reading manifests.
const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed read is repeated.
	// It doubles with each failure and is reduced by up to half at random.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxPeerWait is how long a peer that lacks a manifest may wait for it before it
	// answers so. answerTimeout bounds the arrival of the request there, and what the
	// answer may take beyond that wait.
	maxPeerWait   = 400 * time.Millisecond
	answerTimeout = 600 * time.Millisecond
	// recheckInterval is how often Run checks whether a known manifest has become
	// doubtful and must be read again.
	recheckInterval = 250 * time.Millisecond
	// maxOriginReads bounds how often a manifest is read from the origin until two
	// answers agree.
	maxOriginReads = 4
)

// ManifestReader reads the manifests of the wanted versions, from the origin or from peers as
// the plan of core/version/tree says, and adds them to Adapter. It also serves them to
// peers. Set the exported fields before Run.
type ManifestReader struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Adapter *Adapter
	// Peers lists the sides of the other targets.
	Peers func() []fleet.VM
	// OnManifest is called with each version whose manifest has been read. It must be safe for
	// concurrent use.
	OnManifest func(e *KnownVersion)

	mu             sync.Mutex
	wantedModel    string
	wantedVersions []uint64
	// wantedChanged is closed at the next change of the wanted versions.
	wantedChanged chan struct{}
	// manifestAdded is closed when the next manifest is added to Adapter; nil if nobody
	// waits for it.
	manifestAdded chan struct{}
}

// SetWanted sets the wanted versions of a model.
func (r *ManifestReader) SetWanted(model string, versions []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wantedModel == model && slices.Equal(r.wantedVersions, versions) {
		return
	}
	r.wantedModel, r.wantedVersions = model, versions
	if r.wantedChanged != nil {
		close(r.wantedChanged)
	}
	r.wantedChanged = make(chan struct{})
}

// wanted returns the wanted versions and a channel that is closed when they change.
func (r *ManifestReader) wanted() (string, []uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wantedChanged == nil {
		r.wantedChanged = make(chan struct{})
	}
	return r.wantedModel, r.wantedVersions, r.wantedChanged
}

// Run reads the manifests of the wanted versions until ctx ends.
func (r *ManifestReader) Run(ctx context.Context) error {
	tries := map[uint64]tree.Attempts{}
	for {
		model, versions, changed := r.wanted()
		pause := recheckInterval
		if failed := r.readMissing(ctx, model, versions, tries); failed > 0 {
			bound := min(minRetryDelay<<min(failed, 8), maxRetryDelay)
			pause = bound/2 + rand.N(bound/2)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			clear(tries)
		case <-r.Clock.After(pause):
		}
	}
}

// readMissing tries once to read the manifest of each wanted version that is not known
// or is doubtful, all at the same time. It returns the highest number of failed attempts
// of any version, 0 if none failed.
func (r *ManifestReader) readMissing(ctx context.Context, model string, versions []uint64, tries map[uint64]tree.Attempts) int {
	after := make([]tree.Attempts, len(versions))
	var wg sync.WaitGroup
	for i, v := range versions {
		if r.isKnown(model, v) {
			continue
		}
		before := tries[v]
		wg.Go(func() { after[i] = r.tryRead(ctx, model, v, before) })
	}
	wg.Wait()
	mostFailed := 0
	for i, v := range versions {
		tries[v] = after[i]
		mostFailed = max(mostFailed, after[i].Failed)
	}
	return mostFailed
}

// isKnown reports whether the manifest of a version is known and not doubtful.
func (r *ManifestReader) isKnown(model string, version uint64) bool {
	_, ok := r.Adapter.FindVersion(model, version)
	return ok && !r.Adapter.ManifestsDoubtful()
}

// tryRead tries once to read a manifest. It returns the failed attempts including this
// one, or none if it succeeded.
func (r *ManifestReader) tryRead(ctx context.Context, model string, version uint64, tries tree.Attempts) tree.Attempts {
	plan := tree.NewPlan(versionKey(model, version), r.Self.VM, r.Peers(), tries)
	if r.Adapter.ManifestsDoubtful() {
		plan.OriginFirst, plan.AskOrigin = true, true
	}
	m, from, parentSilent, err := r.readAsPlanned(ctx, model, version, plan)
	if err == nil {
		err = r.addManifest(m, model, version, from)
	}
	if err == nil {
		return tree.Attempts{}
	}
	r.logRead("manifestFailed", model, version, from, err.Error())
	tries.Failed++
	if parentSilent {
		tries.Silent++
	}
	return tries
}

// addManifest adds a manifest to Adapter, wakes the peers' requests that wait for it
// and calls OnManifest.
func (r *ManifestReader) addManifest(m chunk.Manifest, model string, version uint64, from string) error {
	e, err := r.Adapter.AddManifest(m, model, version)
	if err != nil {
		return err
	}
	r.logRead("manifestRead", model, version, from, string(e.Digest))
	r.mu.Lock()
	if r.manifestAdded != nil {
		close(r.manifestAdded)
		r.manifestAdded = nil
	}
	r.mu.Unlock()
	r.OnManifest(e)
	return nil
}

// sourceOrigin names the origin in the decision log and in errors.
const sourceOrigin = "origin"

// readAsPlanned asks the origin and the peers that the plan names, in its order, for a
// manifest. from names the one that answered, and the origin if none did. parentSilent
// reports that the side above this one in the tree did not answer.
func (r *ManifestReader) readAsPlanned(ctx context.Context, model string, version uint64, plan tree.Plan) (m chunk.Manifest, from string, parentSilent bool, err error) {
	err = errPeerLacksManifest
	if plan.OriginFirst {
		if m, err = r.readOrigin(ctx, model, version); err == nil {
			return m, sourceOrigin, false, nil
		}
	}
	for _, vm := range plan.Parent {
		if m, err = r.readPeer(ctx, vm.Address, model, version, maxPeerWait); err == nil {
			return m, vm.Name, false, nil
		}
		parentSilent = !errors.Is(err, errPeerLacksManifest)
	}
	for _, vm := range plan.Fallback {
		if m, otherErr := r.readPeer(ctx, vm.Address, model, version, 0); otherErr == nil {
			return m, vm.Name, parentSilent, nil
		}
	}
	if plan.AskOrigin && !plan.OriginFirst {
		m, err = r.readOrigin(ctx, model, version)
	}
	return m, sourceOrigin, parentSilent, err
}

// readOrigin reads a manifest from the origin until two answers agree. A corrupt
// manifest would be passed on to a part of the region, and the sides with it could
// exchange chunks with no others.
func (r *ManifestReader) readOrigin(ctx context.Context, model string, version uint64) (chunk.Manifest, error) {
	seen := map[chunk.Digest]bool{}
	for range maxOriginReads {
		m, err := r.Adapter.Origin.Manifest(ctx, model, version)
		if err != nil {
			return chunk.Manifest{}, err
		}
		raw, err := m.Encode()
		if err != nil {
			return chunk.Manifest{}, err
		}
		if d := chunk.DigestOf(raw); !seen[d] {
			seen[d] = true
			continue
		}
		return m, nil
	}
	return chunk.Manifest{}, operr.Errorf("read manifest", sourceOrigin, "no two of %d answers agree", maxOriginReads)
}

// versionKey identifies a version of a model in the decision log and in the tree.
func versionKey(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// logRead writes the outcome of an attempt to the decision log. from is where the
// manifest was read; after a failure it is always the origin.
func (r *ManifestReader) logRead(action, model string, version uint64, from, reason string) {
	r.Log.Record(trail.Decision{
		Area: trail.AreaTransfer, Action: action, Subject: versionKey(model, version),
		Choice: from, Reason: reason, Revision: r.Self.Revision.Load(),
	})
}

// manifestRequest asks a peer for the manifest of a version; manifestReply answers it.
type (
	manifestRequest struct {
		Model   string `msgpack:"model"`
		Version uint64 `msgpack:"version"`
		// Wait is how long the peer may wait for the manifest if it does not have it
		// yet.
		Wait time.Duration `msgpack:"wait"`
	}
	manifestReply struct {
		Known    bool           `msgpack:"known"`
		Manifest chunk.Manifest `msgpack:"manifest"`
	}
)

// Kind returns the name of the message on the wire.
func (*manifestRequest) Kind() frame.Kind { return "editionAsk" }

// Check returns an error for the first invalid field.
func (r *manifestRequest) Check() error {
	if r.Model == "" || r.Version == 0 {
		return errors.New("editionAsk: model or version is missing")
	}
	if r.Wait < 0 || r.Wait > maxPeerWait {
		return errors.Newf("editionAsk: wait %s, want 0 to %s", r.Wait, maxPeerWait)
	}
	return nil
}

// Kind returns the name of the message on the wire.
func (*manifestReply) Kind() frame.Kind { return "edition" }

// Check returns an error if the manifest is invalid.
func (r *manifestReply) Check() error {
	if !r.Known {
		return nil
	}
	return r.Manifest.Check()
}

// messageKinds lists the messages of a connection between two libraries.
func messageKinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &manifestRequest{} })
	k.Register(func() frame.Message { return &manifestReply{} })
	return k
}

// Handler answers the manifest requests of peers.
func (r *ManifestReader) Handler() link.Handler {
	return link.Handler{Kinds: messageKinds(), Serve: func(ctx context.Context, c *link.Conn) {
		if c.SetReadDeadline(time.Now().Add(answerTimeout)) != nil {
			return
		}
		m, err := c.Receive()
		if err != nil {
			return
		}
		request, ok := m.(*manifestRequest)
		if !ok {
			return
		}
		reply := &manifestReply{}
		if e, found := r.awaitVersion(ctx, request); found {
			reply.Known, reply.Manifest = true, e.Manifest
		}
		// A peer that does not receive the answer counts this side as silent and tries
		// again.
		_ = c.Send(reply)
	}}
}

// awaitVersion returns the version that a peer asks for, as soon as its manifest is
// known. It returns false when the peer's wait is over.
func (r *ManifestReader) awaitVersion(ctx context.Context, request *manifestRequest) (*KnownVersion, bool) {
	timeout := r.Clock.After(request.Wait)
	for {
		added := r.nextManifest()
		if e, found := r.Adapter.FindVersion(request.Model, request.Version); found || request.Wait == 0 {
			return e, found
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-timeout:
			return nil, false
		case <-added:
		}
	}
}

// nextManifest returns a channel that is closed when the next manifest is added.
func (r *ManifestReader) nextManifest() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.manifestAdded == nil {
		r.manifestAdded = make(chan struct{})
	}
	return r.manifestAdded
}

// errPeerLacksManifest is returned when a peer answers that it does not have the
// manifest.
var errPeerLacksManifest = errors.New("the peer has not read the manifest")

// readPeer asks a peer for a manifest; the peer may wait for it for as long as wait.
func (r *ManifestReader) readPeer(ctx context.Context, addr netip.AddrPort, model string, version uint64, wait time.Duration) (chunk.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	m, err := link.RoundTrip(ctx, r.Self, addr, link.PurposeManifests, messageKinds(), &manifestRequest{Model: model, Version: version, Wait: wait})
	if err != nil {
		return chunk.Manifest{}, err
	}
	e, ok := m.(*manifestReply)
	if !ok || !e.Known {
		return chunk.Manifest{}, operr.Wrap("ask for manifest", addr.String(), errPeerLacksManifest)
	}
	return e.Manifest, nil
}
