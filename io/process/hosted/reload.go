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

// reloadInterval is how often the settings are reread without a SIGHUP, since they may
// change without one. Seeds stay useful for minutes after the settings changed.
const reloadInterval = 2 * time.Second

// watchSettings rereads the settings at a SIGHUP and every reloadInterval until ctx
// ends. New seeds take effect at once; settings that listeners and bounds were created
// from take effect at the next start.
func (p *process) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			requested = true
		case <-p.clock.After(reloadInterval):
		}
		p.reload(requested)
	}
}

func (p *process) reload(requested bool) {
	if p.readSettings == nil {
		return
	}
	next, err := p.readSettings()
	if err != nil {
		// The last valid settings stay in effect.
		p.logger.WithField("error", err.Error()).Warn("settings rejected")
		p.setSettingsFault(err.Error())
		return
	}
	p.setSettingsFault("")
	p.mu.Lock()
	old := p.latest
	p.latest = next
	p.mu.Unlock()
	changed := !reflect.DeepEqual(old, next)
	if !requested && !changed {
		return
	}
	p.logger.WithFields(logrus.Fields{
		"asked": requested, "changed": changed, "seedsChanged": !reflect.DeepEqual(old.Seeds, next.Seeds),
	}).Info("settings reloaded")
}

// current returns the settings that were read last.
func (p *process) current() Settings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

// setSettingsFault records why the settings that were read last are not used, empty if they
// are.
func (p *process) setSettingsFault(reason string) {
	rejected := 0.0
	if reason != "" {
		rejected = 1
	}
	p.metrics.Gauge("settings_rejected").Update(rejected)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settingsFault = reason
}

// currentSettingsFault returns why the settings that were read last are not used, empty if
// they are.
func (p *process) currentSettingsFault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settingsFault
}
