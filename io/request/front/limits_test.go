package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Callers whose requests are too large or too slow get 413, 431 or 408, and an ordinary
// caller is served meanwhile.
func TestLimitsOnCallers(t *testing.T) {
	fl := newTestFleet(t)
	fl.addSide("b1", "booking", http.HandlerFunc(echo))
	fl.entryLimits = Limits{
		MaxBodyBytes: 1 << 10, MaxHeaderBytes: 4 << 10,
		HeaderTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond,
	}
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	line := "POST " + payPath + " HTTP/1.1\r\nHost: x\r\n"
	tests := []struct {
		name, send string
		want       int
	}{
		{"large body", line + "Content-Length: 4096\r\n\r\n" + strings.Repeat("x", 4096), http.StatusRequestEntityTooLarge},
		{"large header", line + "A: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"slow body", line + "Content-Length: 10\r\n\r\nabc", http.StatusRequestTimeout},
		{"slow body of a refused request", "POST /none HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", http.StatusNotFound},
		{"slow header", line + "A: b", http.StatusRequestTimeout},
		{"ordinary", line + "Content-Length: 3\r\n\r\nabc", http.StatusOK},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprint(c, tc.send)
			check(t, "ordinary caller meanwhile", "GET /x ", fl.call(e, http.MethodGet, "/v1/services/booking/x", "", nil).Body)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			check(t, "status", tc.want, res.StatusCode)
		})
	}
}
