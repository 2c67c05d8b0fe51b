package bound

import (
	"net"
	"net/http"

	"hawthornferry/io/conn/dial"
)

// NewTransport returns a transport of HTTP requests that opens connections with d and limits heads
// to MaxHeadBytes.
func NewTransport(d net.Dialer) *http.Transport {
	return &http.Transport{DialContext: dial.With(d), MaxResponseHeaderBytes: MaxHeadBytes}
}
