package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// untilSignal returns a context that ends at the first SIGTERM or SIGINT. A
// second signal ends the process at once: an operator who is tired of waiting
// for calls in flight would otherwise have to reach for SIGKILL.
func untilSignal() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for first := true; ; first = false {
			if _, ok := <-signals; !ok {
				return
			}
			if !first {
				os.Exit(exitFailure)
			}
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		cancel()
	}
}
