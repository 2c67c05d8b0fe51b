package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/request/front"
	"hawthornferry/io/request/gate"
)

const manifest = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// testbed is one entry, and a plain target and an engine, each behind a side of its
// own. It is the source of the view for the entry and the sides.
type testbed struct {
	plainTarget  string
	engineTarget string
	entryAddress string
	view         view.View
}

func (w *testbed) Current() view.View       { return w.view }
func (w *testbed) Changed() <-chan struct{} { return nil }

func newTestbed(ctx context.Context, tokens int) (*testbed, error) {
	w := &testbed{}
	w.view.Document = &envdoc.Document{Revision: 1, Services: []envdoc.Service{
		{Name: "booking", Kind: envdoc.KindPlain, Timeout: time.Minute},
		{Name: "helper", Kind: envdoc.KindEngine, Timeout: time.Minute},
	}}
	plainTarget, err := serve(http.HandlerFunc(plainHandler))
	if err != nil {
		return nil, err
	}
	engineTarget, err := serve(engineHandler(tokens))
	if err != nil {
		return nil, err
	}
	w.plainTarget, w.engineTarget = plainTarget.String(), engineTarget.String()
	for _, t := range []struct {
		service string
		target  netip.AddrPort
	}{{"booking", plainTarget}, {"helper", engineTarget}} {
		if err := w.addSide(ctx, t.service, t.target); err != nil {
			return nil, err
		}
	}
	return w, w.addEntry(ctx)
}

func serve(h http.Handler) (netip.AddrPort, error) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	go func() { _ = http.Serve(nl, h) }()
	return netip.ParseAddrPort(nl.Addr().String())
}

// plainHandler answers every request as a plain target, with a fixed JSON object.
func plainHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, `{"held":true}`)
}

// engineHandler answers as an engine that streams its tokens as fast as they are
// read.
func engineHandler(tokens int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/state", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"manifest":%q,"capacity":256}`, manifest)
	})
	mux.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Manifest", manifest)
		rc := http.NewResponseController(w)
		for range tokens {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"token \"}}]}\n\n")
			_ = rc.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	return mux
}

func newVM(name, service string, role fleet.Role, a net.Addr) fleet.VM {
	return fleet.VM{
		Name: name, Role: role, Zone: "z", Region: "r", Service: service,
		Address: netip.MustParseAddrPort(a.String()), State: fleet.StateLive,
	}
}

func (w *testbed) addSide(ctx context.Context, service string, target netip.AddrPort) error {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	self := &link.Self{Boot: service, VM: newVM(service, service, fleet.RoleSide, nl.Addr())}
	g := &gate.Proxy{
		Self: self, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Metrics: tally.NoopScope,
		Source: w, Target: target, Service: service,
	}
	l := &link.Listener{Self: self, Net: nl, Handlers: map[link.Purpose]link.Handler{link.PurposeCalls: g.Handler()}}
	go func() { _ = g.Run(ctx) }()
	go func() { _ = l.Run(ctx) }()
	w.view.VMs = append(w.view.VMs, self.VM)
	return nil
}

// addEntry starts the entry and waits until the targets of all sides are ready for
// it.
func (w *testbed) addEntry(ctx context.Context) error {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f := &front.Server{
		Self:  &link.Self{Boot: "entry", VM: newVM("entry", "", fleet.RoleEntry, nl.Addr())},
		Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Metrics: tally.NoopScope, Source: w, Listener: nl,
	}
	go func() { _ = f.Run(ctx) }()
	w.entryAddress = nl.Addr().String()
	for ready := 0; ready < len(w.view.VMs); {
		time.Sleep(time.Millisecond)
		ready = 0
		for _, t := range f.Targets() {
			if t.Availability == "ready" {
				ready++
			}
		}
	}
	return nil
}
