package main

import (
	"context"
	"net"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"hawthornferry/standin/relay"
	"hawthornferry/standin/serve"
)

// relayCommand runs a relay that forwards connections and injects network
// faults.
func relayCommand() command {
	control := netip.MustParseAddrPort("127.0.0.1:7900")
	var routes string
	f := flaggy.NewSubcommand("relay")
	f.Description = "forward connections, with delay, cuts and connections that go silent"
	f.String(&routes, "", "routes", "LISTEN=TO of each route, IP:port both, separated by commas")
	f.NetipAddrPort(&control, "", "control", "IP:port of the control calls")
	return command{flags: f, run: func(ctx context.Context) error {
		list, err := parseRoutes(routes)
		if err != nil {
			return usageError{err}
		}
		return runRelay(ctx, list, control)
	}}
}

func parseRoutes(text string) ([]*relay.Route, error) {
	var out []*relay.Route
	for s := range strings.SplitSeq(text, ",") {
		listen, to, _ := strings.Cut(s, "=")
		from, err := netip.ParseAddrPort(listen)
		if err != nil {
			return nil, errors.Wrapf(err, "route %q: want LISTEN=TO", s)
		}
		target, err := netip.ParseAddrPort(to)
		if err != nil {
			return nil, errors.Wrapf(err, "route %q: want LISTEN=TO", s)
		}
		out = append(out, &relay.Route{Listen: from, To: target, Clock: clockwork.NewRealClock()})
	}
	return out, nil
}

// runRelay listens on every address before it forwards the first connection, so
// that it fails at once when an address is in use.
func runRelay(ctx context.Context, routes []*relay.Route, control netip.AddrPort) error {
	g, ctx := errgroup.WithContext(ctx)
	var listeners []net.Listener
	for _, t := range routes {
		nl, err := net.Listen("tcp", t.Listen.String())
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return errors.Wrapf(err, "listen on %s", t.Listen)
		}
		listeners = append(listeners, nl)
	}
	for i, t := range routes {
		g.Go(func() error { return t.Run(ctx, listeners[i]) })
	}
	g.Go(func() error {
		return serve.Run(ctx, []serve.Endpoint{{Address: control, Handler: relay.Handler(routes)}})
	})
	return g.Wait()
}
