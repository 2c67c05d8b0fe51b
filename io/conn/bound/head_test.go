package bound

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// endless repeats a text for ever and counts what is read of it.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text[(e.read+n)%len(e.text):])
	}
	e.read += n
	return n, nil
}

// readHead reads a response up to the end of its last head, as package direct does.
func readHead(r io.Reader) (*http.Response, *bufio.Reader, error) {
	head := NewHeadReader(r)
	in := bufio.NewReader(head)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			err = CheckHead(resp)
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, in, head.Classify(err)
		}
	}
}

// Guards against valid responses that are rejected, or are not passed on whole.
func TestValidHeadsPass(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	tests := []struct{ name, head string }{
		{"usual", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"},
		{"no fields, no reason, line feeds only", "HTTP/1.0 404\n\n"},
		{"interim responses", interim + interim + "HTTP/1.1 200 OK\r\n\r\n"},
		{"16 KiB of fields", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: "+strings.Repeat("b", 160)+"\r\n", 100) + "\r\n"},
	}
	// Empty lines and a second head in the body have no meaning.
	body := strings.Repeat("\n", 2*MaxHeadLines) + interim + strings.Repeat("x", 2*MaxHeadBytes)
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			resp, _, err := readHead(strings.NewReader(tc.head + body))
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if diff := cmp.Diff(body, string(got)); diff != "" || err != nil {
				t.Errorf("body, error %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

// Guards against a target that drops its connection, or crashes, being taken for one that sends
// what is not valid.
func TestDroppedConnectionIsNotInvalid(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 20", "HTTP/1.1 200 OK\r\nConte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"} {
		head := NewHeadReader(strings.NewReader(text))
		resp, err := http.ReadResponse(bufio.NewReader(head), nil)
		if err == nil {
			_, err = io.ReadAll(NewBody(resp, head, false))
		}
		if err = head.Classify(err); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v, want %v", text, err, io.ErrUnexpectedEOF)
		}
	}
}

// Guards against a head with an invalid field that passes as valid if it arrives in parts.
func TestInvalidHeadInParts(t *testing.T) {
	for _, field := range []string{" X-Name: 1", "\tX-Name: 1", "X Name: 1", "X-Name : 1", "X\x01Name: 1", ": 1"} {
		head := "HTTP/1.1 100 -\r\n\r\nHTTP/1.1 200 -\r\nA: b\r\n" + field + "\r\nContent-Length: 6\r\n\r\n"
		for i := range head {
			_, _, err := readHead(io.MultiReader(strings.NewReader(head[:i]), strings.NewReader(head[i:]), strings.NewReader(head+"faulty")))
			if name, _ := Of(err); name != Format {
				t.Errorf("%q after %q: error %v, want one of bound %q", head[i:], head[:i], err, Format)
			}
		}
	}
}

// FuzzHead guards against responses whose head is read beyond the bound, or takes more memory
// than it may. What is sent is a text, and then its second part again and again.
func FuzzHead(f *testing.F) {
	const (
		maxRead  = MaxHeadBytes + 8<<10
		maxAlloc = 2 << 20
	)
	f.Add("HTTP/1.1 200 OK\r\n", "A: b\r\n")
	f.Add("", "HTTP/1.1 100 Continue\r\n\r\n")
	f.Add("", "HTTP/1.1  100 Continue\n\n")
	f.Add("HTTP/1.1 200 OK\r\n", "a:\n")
	f.Add("HTTP/1.1 200 OK\r\nA: ", "x")
	f.Add("HTTP/1.1 200 OK\nA: b\r\n", " \r\n")
	f.Add("HTTP/1.1 103 \nA: b\r\n\r\r\n", "HTTP/1.1 103 \n\n")
	f.Fuzz(func(t *testing.T, begin, repeat string) {
		if repeat == "" {
			return
		}
		source := &endless{text: repeat}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, err := readHead(io.MultiReader(bytes.NewReader([]byte(begin)), source))
		runtime.ReadMemStats(&after)
		if _, cut := Of(err); err != nil && !cut {
			t.Errorf("error %v is not one of a bound", err)
		}
		if source.read > maxRead {
			t.Errorf("%d bytes read, want at most %d", source.read, maxRead)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > maxAlloc {
			t.Errorf("%d bytes allocated, want at most %d", n, maxAlloc)
		}
	})
}
