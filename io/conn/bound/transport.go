package bound

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	"hawthornferry/io/conn/dial"
)

// Transport is an http.Transport that rejects responses whose head is not valid.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that opens connections with d and limits heads to MaxHeadBytes.
func NewTransport(d net.Dialer) Transport {
	return Transport{&http.Transport{DialContext: dial.With(d), MaxResponseHeaderBytes: MaxHeadBytes}}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// minStatus is the lowest status of a response.
const minStatus = 100

// CheckHead returns an error for a head that net/http accepts but that is not valid. The status may
// have three digits of which the first is 0. The name of a field may hold blanks, so that it is not
// the field that it looks like: the body is not read by a length that follows such a name.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return Invalid(fmt.Sprintf("status %03d", resp.StatusCode))
	}
	for name := range resp.Header {
		if strings.ContainsRune(name, ' ') {
			return Invalid(fmt.Sprintf("field name %q with a blank", name))
		}
	}
	return nil
}
