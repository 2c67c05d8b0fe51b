package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
)

// maxStatusBytes is the maximum size of a status that Fetch reads. A longer one is
// cut off and fails to decode.
const maxStatusBytes = 32 << 20

// Fetch requests and checks the status of the process whose administration API is at
// addr.
func Fetch(ctx context.Context, addr netip.AddrPort) (Status, error) {
	const step = "fetch status"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/status", nil)
	if err != nil {
		return Status{}, operr.Wrap(step, addr.String(), err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Status{}, operr.Wrap(step, addr.String(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, operr.Wrap(step, addr.String(), errors.Newf("status %d", resp.StatusCode))
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, operr.Wrap(step, addr.String(), err)
	}
	return s, operr.Wrap(step, addr.String(), s.Check())
}
