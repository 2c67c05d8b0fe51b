package cmds

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"
)

// Guards against a SIGHUP that kills the process while it starts or after it has
// stopped. It would kill the test's own process.
func TestSIGHUPDoesNotEndProcess(t *testing.T) {
	const delivery = 50 * time.Millisecond
	c := &hostedCommand{start: func(context.Context, io.Writer) error {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(delivery)
		return nil
	}}
	if err := c.run(t.Context(), output{}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(delivery)
}
