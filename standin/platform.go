package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/platf"
	"hawthornferry/standin/serve"
)

// platformCommand runs the stand-ins for the configuration service and the VM
// list.
func platformCommand() command {
	config := netip.MustParseAddrPort("127.0.0.1:7100")
	vms := netip.MustParseAddrPort("127.0.0.1:7101")
	readRate := 2000.0
	lag := time.Second
	f := flaggy.NewSubcommand("platform")
	f.Description = "configuration service and VM list"
	f.NetipAddrPort(&config, "", "config", "IP:port of the configuration service")
	f.NetipAddrPort(&vms, "", "vms", "IP:port of the VM list")
	f.Float64(&readRate, "", "rate", "reads a second of the configuration service")
	f.Duration(&lag, "", "lag", "delay until the VM list shows a change")
	return command{flags: f, run: func(ctx context.Context) error {
		clock := clockwork.NewRealClock()
		c := &platf.ConfigService{Rate: readRate, Clock: clock}
		l := &platf.VMList{Lag: lag, Clock: clock}
		return serve.Run(ctx, []serve.Endpoint{
			{Address: config, Handler: c.Handler()},
			{Address: vms, Handler: l.Handler()},
		})
	}}
}
