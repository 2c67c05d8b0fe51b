// Package serve runs the HTTP servers of the stand-ins.
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

// headerTimeout bounds the wait for a request's headers.
const headerTimeout = 10 * time.Second

// Endpoint is a handler and the address that it is served on.
type Endpoint struct {
	Address netip.AddrPort
	Handler http.Handler
}

// ParseAddresses reads a comma-separated list of IP and port.
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

// Run serves the sites until ctx ends. It binds every address before it
// serves the first, so that an address in use leaves nothing half started.
func Run(ctx context.Context, sites []Endpoint) error {
	listeners, err := listenAll(sites)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for i, s := range sites {
		srv := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
		context.AfterFunc(ctx, func() { srv.Close() })
		g.Go(func() error { return ignoreServerClosed(srv.Serve(listeners[i])) })
	}
	return g.Wait()
}

func listenAll(sites []Endpoint) ([]net.Listener, error) {
	var out []net.Listener
	for _, s := range sites {
		nl, err := net.Listen("tcp", s.Address.String())
		if err != nil {
			closeAll(out)
			return nil, errors.Wrapf(err, "listen on %s", s.Address)
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
