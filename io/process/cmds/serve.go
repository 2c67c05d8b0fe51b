package cmds

import (
	"hawthornferry/io/process/conf"
	"hawthornferry/io/process/host"
)

// openHost opens the listeners that every process has and then its common
// components, so that a port in use is found before anything runs.
func (p *process) openHost(s conf.Settings) (*host.Host, error) {
	peers, err := p.listen("peers", s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	api, err := p.listen("admin", s.Listen.Admin)
	if err != nil {
		peers.Close()
		return nil, err
	}
	h := &host.Host{Settings: s, Version: Version, Peers: peers, Admin: api}
	if err := h.Open(); err != nil {
		peers.Close()
		api.Close()
		return nil, err
	}
	return h, nil
}
