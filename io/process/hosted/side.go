package hosted

import (
	"context"
	"io"
	"net"
	"time"
)

func scaled(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// Side is the process beside one engine. Set the exported fields before Run.
type Side struct {
	Settings Settings
	Platform Platform
	Log      io.Writer
}

// Run runs the side until ctx ends.
func (s *Side) Run(ctx context.Context) error {
	f, err := newFrame(s.Settings, s.Platform, s.Log)
	if err != nil {
		return err
	}
	peers, err := listen("peers", s.Settings.VM.Address)
	if err != nil {
		return err
	}
	metrics, err := listen("metrics", s.Settings.Metrics)
	if err != nil {
		return err
	}
	return f.run(ctx, []net.Listener{peers}, []net.Listener{metrics})
}
