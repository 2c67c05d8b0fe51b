package cmds

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that ends by a SIGHUP which comes while it starts or once
// it has stopped: this test's own process would end.
func TestHangupEndsNoProcess(t *testing.T) {
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
