package swarm

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
)

// Waits between reads of a manifest.
const (
	firstManifestWait = 200 * time.Millisecond
	mostManifestWait  = 10 * time.Second
)

// known is a manifest that a wanted version pins.
type known struct {
	cancel   context.CancelFunc
	ready    bool
	manifest chunk.Manifest
	raw      []byte // the canonical bytes
	staged   []chunk.Digest
	waiting  []*conn // peers that asked for it before it was read
}

// Update takes a new document, new peers or a new list of wanted versions.
// It may be called at any time and does not block.
func (n *Node) Update(v view.View, wanted []Wanted) {
	n.init()
	n.do(func(s *state) {
		s.view = v
		s.wanted = wanted
		for _, w := range wanted {
			n.learn(s, w)
		}
		n.refresh(s)
	})
}

// learn starts reading a manifest that is not yet known.
func (n *Node) learn(s *state, w Wanted) {
	if _, ok := s.manifests[w.Manifest]; ok {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	s.manifests[w.Manifest] = &known{cancel: cancel, waiting: s.takeEarly(w.Manifest)}
	n.decide("want", w.Manifest, w.Model, w.Version, "document")
	n.spawn(s, func() {
		defer cancel()
		n.readManifest(ctx, w.Manifest)
	})
}

func (n *Node) readManifest(ctx context.Context, d chunk.Digest) {
	wait := firstManifestWait
	for ctx.Err() == nil {
		m, raw, err := n.obtainManifest(ctx, d)
		if err == nil {
			n.adopt(ctx, d, m, raw)
			return
		}
		n.reportUnlessStopped("read manifest", n.Store.String(), err)
		_, after := classify(err)
		// Many sides learn of a version at the same moment; a random part
		// keeps them from coming back to the store in step.
		pause := max(wait, after) + rand.N(wait)
		wait = min(2*wait, mostManifestWait)
		select {
		case <-n.Clock.After(pause):
		case <-ctx.Done():
		}
	}
}

// adopt takes a manifest into the decisions, with the chunks of it that the
// engine holds from before. These are read back and verified, since what an
// earlier process of this side left behind is not known to be whole.
func (n *Node) adopt(ctx context.Context, d chunk.Digest, m chunk.Manifest, raw []byte) {
	staged := n.verifyStaged(ctx, m)
	n.do(func(s *state) {
		k, ok := s.manifests[d]
		if !ok || ctx.Err() != nil {
			return
		}
		k.ready, k.manifest, k.raw, k.staged = true, m, raw, staged
		for _, c := range k.waiting {
			sendManifest(c, d, raw)
		}
		k.waiting = nil
		n.refresh(s)
		k.staged = nil
	})
	n.progressed()
}

func (n *Node) verifyStaged(ctx context.Context, m chunk.Manifest) []chunk.Digest {
	list, err := n.Staging.List(ctx)
	if err != nil {
		n.reportUnlessStopped("list staging", "engine", err)
		return nil
	}
	there := map[chunk.Digest]bool{}
	for _, d := range list {
		there[d] = true
	}
	var out []chunk.Digest
	for _, ref := range m.Chunks {
		if !there[ref.Digest] || n.held(ref.Digest) || n.arriving(ref.Digest) {
			continue
		}
		b, err := n.Staging.Get(ctx, ref.Digest)
		if err != nil || chunk.Sum(b) != ref.Digest {
			continue
		}
		out = append(out, ref.Digest)
	}
	return out
}

// retire forgets the manifests that are no longer wanted, but not before all
// wanted ones are read: until then it is not known which chunks they share,
// and those would be discarded and fetched again.
func (n *Node) retire(s *state) {
	keep := map[chunk.Digest]bool{}
	for _, w := range s.wanted {
		keep[w.Manifest] = true
		if k := s.manifests[w.Manifest]; k == nil || !k.ready {
			return
		}
	}
	for d, k := range s.manifests {
		if !keep[d] {
			k.cancel()
			delete(s.manifests, d)
		}
	}
}

// refresh hands the wanted versions whose manifests are known to the
// decisions; it is called with the state locked.
func (n *Node) refresh(s *state) {
	n.retire(s)
	var sets []burst.Set
	for _, d := range s.inOrder() {
		k := s.manifests[d]
		if k == nil || !k.ready {
			continue
		}
		sets = append(sets, burst.Set{
			ID:       d,
			Keep:     !s.isWanted(d),
			Manifest: k.manifest,
			Members:  n.members(s, d),
			Staged:   k.staged,
		})
	}
	if s.view.Document != nil {
		s.core.SetWeigh(s.view.Document.Weigh)
		s.core.SetOriginRegion(n.originRegion(s.view.Document))
		if r, ok := s.view.Document.RegionByName(n.Self.VM.Region); ok && r.Link > 0 {
			n.pacer.SetRegion(r.Link)
		}
	}
	if n.Burst.Turns == 0 {
		s.core.SetTurns(n.turns())
	}
	if n.Burst.Fanout == 0 {
		s.core.SetFanout(n.fanout())
	}
	s.add(s.core.Update(s.now, sets))
}

// turns is how many chunks may cross between two regions at a time.
func (n *Node) turns() int {
	if n.pacer.RegionBinds() {
		return burst.DefaultTurns
	}
	return burst.WideTurns
}

// fanout is to how many regions one hands a chunk on.
func (n *Node) fanout() int {
	if n.pacer.RegionBinds() {
		return burst.DefaultFanout
	}
	return burst.WideFanout
}

// originRegion is what the document says, or the setting where it is silent.
func (n *Node) originRegion(d *envdoc.Document) string {
	if d.Origin.Region != "" {
		return d.Origin.Region
	}
	return n.OriginRegion
}

func (s *state) isWanted(d chunk.Digest) bool {
	return slices.ContainsFunc(s.wanted, func(w Wanted) bool { return w.Manifest == d })
}

// inOrder lists the known manifests, the wanted ones first.
func (s *state) inOrder() []chunk.Digest {
	var out []chunk.Digest
	for _, w := range s.wanted {
		if !slices.Contains(out, w.Manifest) {
			out = append(out, w.Manifest)
		}
	}
	for d := range s.manifests {
		if !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// members are the sides that the document has hold the manifest, this one
// included. Spare VMs of a service are not among them: they fetch nothing and
// would only be waited for.
func (n *Node) members(s *state, d chunk.Digest) []burst.Member {
	out := []burst.Member{{Name: n.Self.VM.Name, Region: n.Self.VM.Region}}
	if n.Members != nil {
		return n.appendPlaced(out, n.Members(d))
	}
	if s.view.Document == nil {
		return out
	}
	for _, svc := range s.view.Document.Services {
		m, ok := s.view.Document.ModelByName(svc.Model)
		if !ok || m.Manifest != d {
			continue
		}
		for _, p := range svc.Replicas {
			out = n.appendPlaced(out, roll.Placed(s.view, svc, fleet.VM{Zone: p.Zone}))
		}
	}
	return out
}

func (n *Node) appendPlaced(out []burst.Member, vms []fleet.VM) []burst.Member {
	for _, vm := range vms {
		if vm.Name != n.Self.VM.Name {
			out = append(out, burst.Member{Name: vm.Name, Region: vm.Region})
		}
	}
	return out
}
