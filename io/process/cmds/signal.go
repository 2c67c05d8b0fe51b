package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// contextUntilSignal returns a context that ends at the first SIGTERM or SIGINT. A
// second signal exits the process at once with exitFailure, so that an operator who
// does not want to wait for calls in flight needs no SIGKILL. The returned function
// stops listening for signals.
func contextUntilSignal() (context.Context, func()) {
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
