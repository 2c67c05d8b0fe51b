package swarm

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
	"hawthornferry/core/version/spread"
)

// Delays between attempts to read a manifest; they double from the first to
// the last.
const (
	minManifestRetryWait = 200 * time.Millisecond
	maxManifestRetryWait = 10 * time.Second
)

// manifestEntry is the manifest of a wanted version, or of one that is no
// longer wanted but not removed yet.
type manifestEntry struct {
	cancel       context.CancelFunc
	ready        bool
	manifest     chunk.Manifest
	encoded      []byte // canonical encoding
	staged       []chunk.Digest
	waitingPeers []*conn // peers to send it to once it is read
}

// Update sets the view of the fleet, with the environment document, and the
// list of wanted versions. It may be called at any time and does not block.
func (n *Node) Update(v view.View, wanted []WantedVersion) {
	n.init()
	n.withState(func(s *state) {
		s.view = v
		s.wanted = wanted
		for _, w := range wanted {
			n.startManifestRead(s, w)
		}
		n.updateDistribution(s)
	})
}

// startManifestRead starts to read the manifest of a wanted version unless it
// has been started before. The caller holds n.mu.
func (n *Node) startManifestRead(s *state, w WantedVersion) {
	if _, ok := s.manifests[w.Manifest]; ok {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	s.manifests[w.Manifest] = &manifestEntry{cancel: cancel, waitingPeers: s.takeEarlyRequests(w.Manifest)}
	n.logDecision("want", w.Manifest, w.Model, w.Version, "document")
	n.spawn(s, func() {
		defer cancel()
		n.readManifest(ctx, w.Manifest)
	})
}

// readManifest reads a manifest, with retries until ctx ends.
func (n *Node) readManifest(ctx context.Context, d chunk.Digest) {
	wait := minManifestRetryWait
	for ctx.Err() == nil {
		m, encoded, err := n.fetchManifest(ctx, d)
		if err == nil {
			n.addManifest(ctx, d, m, encoded)
			return
		}
		n.logErrorUnlessStopped("read manifest", n.Store.String(), err)
		_, after := classifyFailure(err)
		// Many sides learn of a version at the same moment. The random part
		// keeps them from retrying at the store simultaneously.
		pause := max(wait, after) + rand.N(wait)
		wait = min(2*wait, maxManifestRetryWait)
		select {
		case <-n.Clock.After(pause):
		case <-ctx.Done():
		}
	}
}

// addManifest adds a manifest to the distribution, with those of its chunks
// that are already staged. These are read back and verified, since an earlier
// process of this side may have left them incomplete.
func (n *Node) addManifest(ctx context.Context, d chunk.Digest, m chunk.Manifest, encoded []byte) {
	staged := n.verifyStaged(ctx, m)
	n.withState(func(s *state) {
		entry, ok := s.manifests[d]
		if !ok || ctx.Err() != nil {
			return
		}
		entry.ready, entry.manifest, entry.encoded, entry.staged = true, m, encoded, staged
		for _, c := range entry.waitingPeers {
			sendManifest(c, d, encoded)
		}
		entry.waitingPeers = nil
		n.updateDistribution(s)
		entry.staged = nil
	})
	n.notifyProgress()
}

// verifyStaged returns the chunks of m that are staged with the right digest
// and neither held nor being transferred.
func (n *Node) verifyStaged(ctx context.Context, m chunk.Manifest) []chunk.Digest {
	list, err := n.Staging.List(ctx)
	if err != nil {
		n.logErrorUnlessStopped("list staging", "engine", err)
		return nil
	}
	staged := map[chunk.Digest]bool{}
	for _, d := range list {
		staged[d] = true
	}
	var out []chunk.Digest
	for _, ref := range m.Chunks {
		if !staged[ref.Digest] || n.isHeld(ref.Digest) || n.isDownloading(ref.Digest) {
			continue
		}
		b, err := n.Staging.Get(ctx, ref.Digest)
		if err != nil || chunk.DigestOf(b) != ref.Digest {
			continue
		}
		out = append(out, ref.Digest)
	}
	return out
}

// removeUnwantedManifests removes the manifests that are no longer wanted once
// all wanted ones have been read. Until then it is unknown which chunks they
// share, and shared chunks would be discarded and fetched again. The caller
// holds n.mu.
func (n *Node) removeUnwantedManifests(s *state) {
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

// updateDistribution passes the versions whose manifests have been read, and
// the settings of the environment document, to the distribution. The caller
// holds n.mu.
func (n *Node) updateDistribution(s *state) {
	n.removeUnwantedManifests(s)
	var sets []spread.WantedVersion
	for _, d := range s.manifestsByPriority() {
		k := s.manifests[d]
		if k == nil || !k.ready {
			continue
		}
		sets = append(sets, spread.WantedVersion{
			ID:       d,
			KeepOnly: !s.isWanted(d),
			Priority: s.priorityOf(d),
			Manifest: k.manifest,
			Members:  n.members(s, d),
			Staged:   k.staged,
		})
	}
	if s.view.Document != nil {
		s.distribution.SetGoal(s.view.Document.Goal)
		s.distribution.SetOriginRegion(n.originRegion(s.view.Document))
		if r, ok := s.view.Document.RegionByName(n.Self.VM.Region); ok && r.LinkRate > 0 {
			n.pacer.SetRegionRate(r.LinkRate)
		}
	}
	if n.Spread.ImportSlots == 0 {
		s.distribution.SetImportSlots(n.importSlots())
	}
	if n.Spread.Fanout == 0 {
		s.distribution.SetFanout(n.regionFanout())
	}
	s.addActions(s.distribution.Update(s.now, sets))
}

// importSlots returns how many chunks may be transferred between two regions
// at a time.
func (n *Node) importSlots() int {
	if n.pacer.RegionIsBottleneck() {
		return spread.DefaultImportSlots
	}
	return spread.FastLinkImportSlots
}

// regionFanout returns to how many other regions one region passes a chunk on.
func (n *Node) regionFanout() int {
	if n.pacer.RegionIsBottleneck() {
		return spread.DefaultFanout
	}
	return spread.FastLinkFanout
}

// originRegion returns the origin's region from the document, or from
// OriginRegion if the document names none.
func (n *Node) originRegion(d *envdoc.Document) string {
	if d.Origin.Region != "" {
		return d.Origin.Region
	}
	return n.OriginRegion
}

// priorityOf returns the priority of the version with the given manifest. One that is no longer
// wanted has none.
func (s *state) priorityOf(d chunk.Digest) spread.Priority {
	for _, w := range s.wanted {
		if w.Manifest == d {
			return w.Priority
		}
	}
	return spread.PriorityNone
}

// isWanted reports whether a wanted version has the manifest.
func (s *state) isWanted(d chunk.Digest) bool {
	return slices.ContainsFunc(s.wanted, func(w WantedVersion) bool { return w.Manifest == d })
}

// manifestsByPriority lists the manifests, the wanted ones first in the order
// given to Update.
func (s *state) manifestsByPriority() []chunk.Digest {
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

// members returns the sides that must hold a version according to Members or
// the environment document, this one first. Spare VMs of a service are left
// out: they fetch nothing, and other sides would wait for them in vain.
func (n *Node) members(s *state, d chunk.Digest) []spread.Member {
	out := []spread.Member{{Name: n.Self.VM.Name, Region: n.Self.VM.Region}}
	if n.Members != nil {
		return n.appendOthers(out, n.Members(d))
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
			out = n.appendOthers(out, roll.PlacedVMs(s.view, svc, fleet.VM{Zone: p.Zone}))
		}
	}
	return out
}

// appendOthers appends vms without this side.
func (n *Node) appendOthers(out []spread.Member, vms []fleet.VM) []spread.Member {
	for _, vm := range vms {
		if vm.Name != n.Self.VM.Name {
			out = append(out, spread.Member{Name: vm.Name, Region: vm.Region})
		}
	}
	return out
}
