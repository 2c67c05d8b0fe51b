package demo

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"hawthornferry/standin/relay"
)

// Silence makes the relay drop everything on the connections to a side that are
// open now, without closing them, and returns how many there were.
func (f *Fleet) Silence(ctx context.Context, name string) (int, error) {
	if !f.Relay.IsValid() {
		return 0, errors.New("silence: the fleet has no relay")
	}
	for _, n := range f.Sides {
		if n.VM.Name != name {
			continue
		}
		var c relay.ConnectionCount
		err := sendJSON(ctx, http.MethodPost, f.Relay, "/control/routes/"+n.VM.Address.String()+"/silence", nil, &c)
		return c.Connections, errors.Wrapf(err, "silence %s", name)
	}
	return 0, errors.Newf("silence: no side %q", name)
}
