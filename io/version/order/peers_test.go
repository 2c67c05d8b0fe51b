package order

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/uptime"
)

// Guards against a zone whose replicas load one after the other, because each question
// waits for a peer whose link is too slow to reply, and the side that asks counts as not
// serving all the while.
func TestSilentPeerDelaysNoQuestion(t *testing.T) {
	selfOf := func(name string) *link.Self {
		return &link.Self{VM: fleet.VM{Name: name, Role: fleet.RoleSide, Zone: "z", Region: "r", Service: "helper", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive}, Boot: name}
	}
	asker := &Controller{Self: selfOf("a"), Clock: clockwork.NewRealClock(), Uptime: uptime.Now}
	silent, silentAddr := listen(t)
	t.Cleanup(func() { silent.Close() })
	peers := []fleet.VM{{Name: "silent", Address: silentAddr}}
	for _, name := range []string{"b", "c"} {
		peer := &Controller{Self: selfOf(name), Clock: clockwork.NewRealClock(), Uptime: uptime.Now}
		l, addr := listen(t)
		ln := &link.Listener{Self: peer.Self, Net: l, Handlers: map[link.Purpose]link.Handler{link.PurposeOrders: peer.Handler()}}
		go func() { _ = ln.Run(t.Context()) }()
		peers = append(peers, fleet.VM{Name: name, Address: addr})
	}
	ctx, cancel := context.WithTimeout(t.Context(), statusTimeout)
	defer cancel()
	began := time.Now()
	answers := asker.requestStatuses(ctx, "helper", peers)
	if took := time.Since(began); took > statusTimeout/2 {
		t.Errorf("the question took %s, want %s at most", took, statusTimeout/2)
	}
	if diff := cmp.Diff(2, len(answers)); diff != "" {
		t.Errorf("replies (-want +got):\n%s", diff)
	}
}
