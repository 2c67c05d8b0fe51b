package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/plain"
	"hawthornferry/standin/serve"
)

// serviceCommand runs a stand-in for a replica of a plain service on each
// address.
func serviceCommand() command {
	listen := "127.0.0.1:7050"
	name := "booking"
	delay := 5 * time.Millisecond
	f := flaggy.NewSubcommand("service")
	f.Description = "replicas of a plain service, one on each address"
	f.String(&listen, "", "listen", "IP:port of each replica, separated by commas")
	f.String(&name, "", "name", "name of the service")
	f.Duration(&delay, "", "delay", "time that each call takes")
	return command{flags: f, run: func(ctx context.Context) error {
		addresses, err := serve.ParseAddresses(listen)
		if err != nil {
			return usageError{err}
		}
		var endpoints []serve.Endpoint
		for _, a := range addresses {
			s := &plain.Service{
				Name:    name,
				Replica: a.String(),
				Delay:   delay,
				Clock:   clockwork.NewRealClock(),
			}
			endpoints = append(endpoints, serve.Endpoint{Address: a, Handler: s.Handler()})
		}
		return serve.Run(ctx, endpoints)
	}}
}
