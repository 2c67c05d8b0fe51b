package gate

import (
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"strings"

	"hawthornferry/core/process/fault"
	"hawthornferry/io/conn/sessn"
)

// ManifestHeader names the version that answered a call.
const ManifestHeader = "X-Manifest"

// request builds the HTTP request for the target.
func (g *Gate) request(ctx context.Context, s *sessn.Stream) (*http.Request, error) {
	url := "http://" + g.Target.String() + s.Start.Path
	req, err := http.NewRequestWithContext(ctx, s.Start.Method, url, bytes.NewReader(s.Body))
	if err != nil {
		return nil, fault.At("build request", g.Target.String(), err)
	}
	req.Header = s.Start.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	StripHops(req.Header)
	return req, nil
}

// hops are the headers that concern one connection alone.
var hops = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHops removes from h what concerns one connection alone.
func StripHops(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hops {
		h.Del(name)
	}
}
