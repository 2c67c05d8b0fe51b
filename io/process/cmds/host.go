package cmds

import (
	"hawthornferry/io/process/conf"
	"hawthornferry/io/process/proc"
)

// openHost opens the listeners that entries and sides both have, and then the
// components that they share. The listeners come first so that a port in use is
// reported before anything runs.
func (p *processOptions) openHost(s conf.Settings) (*proc.Process, error) {
	peers, err := p.listen("peers", s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	api, err := p.listen("admin", s.Listen.Admin)
	if err != nil {
		peers.Close()
		return nil, err
	}
	h := &proc.Process{Settings: s, Version: Version, Peers: peers, Admin: api}
	if err := h.Open(); err != nil {
		peers.Close()
		api.Close()
		return nil, err
	}
	return h, nil
}
