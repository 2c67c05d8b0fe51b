package gate

import (
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"strings"

	"hawthornferry/core/process/operr"
	"hawthornferry/io/conn/sessn"
)

// ManifestHeader is the header in which an engine names the version that answered.
const ManifestHeader = "X-Manifest"

// newTargetRequest returns the HTTP request to send to the target.
func (p *Proxy) newTargetRequest(ctx context.Context, s *sessn.Stream) (*http.Request, error) {
	url := "http://" + p.Target.String() + s.Start.Path
	req, err := http.NewRequestWithContext(ctx, s.Start.Method, url, bytes.NewReader(s.Body))
	if err != nil {
		return nil, operr.Wrap("build request", p.Target.String(), err)
	}
	req.Header = s.Start.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	RemoveHopByHopHeaders(req.Header)
	return req, nil
}

// hopHeaders are the headers that apply to a single connection (hop-by-hop headers).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the hop-by-hop headers from h, including those that the
// Connection header lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
