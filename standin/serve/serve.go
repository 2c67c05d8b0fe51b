// Package serve has the HTTP helpers that all stand-ins share: it runs their
// servers, reads and writes JSON bodies, and holds the faults that a control
// call replaces. The commands of standin and the soak test use it.
package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// headerTimeout is the longest time that a client may take to send a
// request's headers.
const headerTimeout = 10 * time.Second

// Endpoint is a handler and the address on which it is served.
type Endpoint struct {
	Address netip.AddrPort
	Handler http.Handler
}

// ParseAddresses parses a comma-separated list of IP:port.
func ParseAddresses(list string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for s := range strings.SplitSeq(list, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			return nil, errors.Wrapf(err, "address %q: want IP:port", s)
		}
		out = append(out, a)
	}
	return out, nil
}

// Run serves the endpoints until ctx ends. It listens on every address before
// it serves the first, so that it fails without having accepted a connection
// when an address is in use.
func Run(ctx context.Context, endpoints []Endpoint) error {
	listeners, err := listenAll(endpoints)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for i, e := range endpoints {
		srv := &http.Server{Handler: e.Handler, ReadHeaderTimeout: headerTimeout}
		context.AfterFunc(ctx, func() { srv.Close() })
		g.Go(func() error { return ignoreServerClosed(srv.Serve(listeners[i])) })
	}
	return g.Wait()
}

func listenAll(endpoints []Endpoint) ([]net.Listener, error) {
	var out []net.Listener
	for _, e := range endpoints {
		nl, err := net.Listen("tcp", e.Address.String())
		if err != nil {
			closeAll(out)
			return nil, errors.Wrapf(err, "listen on %s", e.Address)
		}
		out = append(out, nl)
	}
	return out, nil
}

func closeAll(listeners []net.Listener) {
	for _, nl := range listeners {
		nl.Close()
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
