package hosted

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadEvery is how often the settings are read without being asked to: they
// may change without a signal. Seeds are of use for minutes after.
const reloadEvery = 2 * time.Second

// followSettings takes changed settings over, at a SIGHUP and by itself. The
// seeds are in force at once; what the listeners and the bounds were made from
// is in force after the next start.
func (f *frame) followSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			asked = true
		case <-f.clock.After(reloadEvery):
		}
		f.reload(asked)
	}
}

func (f *frame) reload(asked bool) {
	if f.read == nil {
		return
	}
	next, err := f.read()
	if err != nil {
		// The last good settings stay in force.
		f.logger.WithField("error", err.Error()).Warn("settings rejected")
		return
	}
	f.mu.Lock()
	old := f.latest
	f.latest = next
	f.mu.Unlock()
	changed := !reflect.DeepEqual(old, next)
	if !asked && !changed {
		return
	}
	f.logger.WithFields(logrus.Fields{
		"asked": asked, "changed": changed, "seedsChanged": !reflect.DeepEqual(old.Seeds, next.Seeds),
	}).Info("settings reloaded")
}

// current returns the settings that were read last.
func (f *frame) current() Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}
