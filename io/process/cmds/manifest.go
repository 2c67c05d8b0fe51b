package cmds

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
)

// fetchManifest reads the encoded manifest with digest d from the weight store. The
// caller must check that the bytes match d.
func fetchManifest(ctx context.Context, store netip.AddrPort, d chunk.Digest) ([]byte, error) {
	const step = "read manifest"
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	url := "http://" + store.String() + "/v1/manifests/" + string(d)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, operr.Wrap(step, store.String(), err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, operr.Wrap(step, store.String(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, operr.Wrap(step, store.String(), errors.Newf("%s: status %d", d, resp.StatusCode))
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxManifestBytes))
	return b, operr.Wrap(step, store.String(), err)
}
