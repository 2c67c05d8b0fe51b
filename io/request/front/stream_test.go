package front

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

const manifestB = "sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

const (
	chatURL      = "/v1/chat/completions"
	endMarkEvent = "data: [DONE]\n\n"
)

// Token texts of the two versions.
var (
	textA = []string{"a0", "a1", "a2", "a3"}
	textB = []string{"b0", "b1", "b2", "b3"}
)

// tokens writes a stream from the requested resume position. It aborts the connection
// after cut tokens, unless cut is negative.
func tokens(w http.ResponseWriter, r *http.Request, text []string, abortAfter int) {
	w.Header().Set("Content-Type", mediaTypeEventStream)
	from, _ := strconv.Atoi(r.Header.Get(headerResumeFrom))
	for i, s := range text[from:] {
		if i == abortAfter {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, token(s))
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, endMarkEvent)
}

func wholeText(text []string) string {
	var b strings.Builder
	for _, s := range text {
		b.WriteString(token(s))
	}
	return b.String() + endMarkEvent
}

// The first engine aborts after two tokens. Another one that serves the same version
// continues after them, and the caller gets one complete text.
func TestStreamResumesOnSameVersion(t *testing.T) {
	fl := newTestFleet(t)
	fl.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textA, 2)
	}))
	fl.addSide("h2", "helper", engineStub(manifestB, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textB, -1)
	}))
	fl.addSide("h3", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textA, -1)
	}))
	e := fl.addEntry("e1", "h1")
	fl.waitReady(e, "helper", 3)
	r := fl.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "text", wholeText(textA), r.Body)
	check(t, "truncated", false, r.Truncated)
}

// An engine aborts after two tokens, and only an engine with another version is left. A
// text composed of both would look like an answer, so the caller's stream must be
// aborted without an end mark and without tokens of the other version. This must hold
// also if the other engine's reported state still names the old version.
func TestStreamNeverResumesOnAnotherVersion(t *testing.T) {
	for _, reported := range []string{manifestB, manifestA} {
		t.Run(reported[:10], func(t *testing.T) { checkNoMixedVersions(t, reported) })
	}
}

func checkNoMixedVersions(t *testing.T, reported string) {
	fl := newTestFleet(t)
	fl.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textA, 2)
	}))
	fl.addSide("h2", "helper", engineStub(reported, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Manifest", manifestB)
		tokens(rw, r, textB, -1)
	}))
	e := fl.addEntry("e1", "h1")
	fl.waitReady(e, "helper", 2)
	r := fl.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "text", token("a0")+token("a1"), r.Body)
	check(t, "truncated", true, r.Truncated)
}

// The engine ends its response normally, but without the end mark. The caller must not
// take the text for complete.
func TestStreamWithoutEndMarkIsAborted(t *testing.T) {
	fl := newTestFleet(t)
	fl.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", mediaTypeEventStream)
		io.WriteString(rw, token("a0"))
	}))
	e := fl.addEntry("e1")
	fl.waitReady(e, "helper", 1)
	r := fl.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "text", token("a0"), r.Body)
	check(t, "truncated", true, r.Truncated)
}

// The caller disconnects after the first token. The engine's request must end, so that
// it doesn't generate tokens that nobody reads.
func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	fl := newTestFleet(t)
	ended := make(chan struct{})
	fl.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", mediaTypeEventStream)
		io.WriteString(rw, token("a0"))
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	e := fl.addEntry("e1")
	fl.waitReady(e, "helper", 1)
	res := fl.openChat(e, streamBody)
	if _, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	<-ended
}

// A caller does not read its long stream, which therefore waits for flow-control
// credit. Other callers of the same side must get their answers meanwhile. When the
// first caller continues to read, it gets the complete stream.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	fl := newTestFleet(t)
	long := strings.Repeat("x", 32<<10)
	fl.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if !strings.Contains(string(b), "long") {
			tokens(rw, r, textA, -1)
			return
		}
		rw.Header().Set("Content-Type", mediaTypeEventStream)
		for range longStreamTokens {
			io.WriteString(rw, token(long))
		}
		io.WriteString(rw, endMarkEvent)
	}))
	e := fl.addEntry("e1")
	fl.waitReady(e, "helper", 1)
	slow := fl.openChat(e, `{"model":"helper","stream":true,"messages":[],"user":"long"}`)
	for range 3 {
		r := fl.call(e, http.MethodPost, chatURL, streamBody, nil)
		check(t, "text", wholeText(textA), r.Body)
	}
	defer slow.Body.Close()
	n, err := io.Copy(io.Discard, slow.Body)
	check(t, "bytes of the long stream", int64(longStreamTokens*len(token(long))+len(endMarkEvent)), n)
	check(t, "error of the long stream", nil, err)
}

// longStreamTokens is chosen such that the stream exceeds all buffers on its way.
const longStreamTokens = 512

// Two calls share a session, and the target answers the later one first. Each caller
// must get its own answer.
func TestAnswersOutOfOrderReachTheirCallers(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	first := fl.callAsync(e, "hold", nil)
	<-p.started
	second := <-fl.callAsync(e, "quick", nil)
	close(p.release)
	check(t, "second", "paid quick", second.Body)
	check(t, "first", "paid hold", (<-first).Body)
}
