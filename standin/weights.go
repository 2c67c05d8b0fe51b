package main

import (
	"context"
	"net/netip"

	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/serve"
	"hawthornferry/standin/weight"
)

// weightsCommand runs the stand-ins for the weight store and the origin.
func weightsCommand() command {
	store := netip.MustParseAddrPort("127.0.0.1:7102")
	origin := netip.MustParseAddrPort("127.0.0.1:7103")
	requests := 100.0
	link := int64(25_000_000)
	transfers := int64(64)
	f := flaggy.NewSubcommand("weights")
	f.Description = "weight store and origin"
	f.NetipAddrPort(&store, "", "store", "IP:port of the weight store")
	f.NetipAddrPort(&origin, "", "origin", "IP:port of the origin")
	f.Float64(&requests, "", "rate", "requests a second of the weight store")
	f.Int64(&link, "", "link", "bytes a second of the origin's link")
	f.Int64(&transfers, "", "transfers", "transfers of the origin at once")
	return command{flags: f, run: func(ctx context.Context) error {
		clock := clockwork.NewRealClock()
		shelf := &weight.Catalog{}
		s := &weight.Store{Catalog: shelf, Rate: requests, Clock: clock}
		o := &weight.Origin{Catalog: shelf, LinkRate: link, MaxTransfers: transfers, Clock: clock}
		return serve.Run(ctx, []serve.Endpoint{
			{Address: store, Handler: s.Handler()},
			{Address: origin, Handler: o.Handler()},
		})
	}}
}
