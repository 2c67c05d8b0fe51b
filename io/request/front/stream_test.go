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
	chatURL = "/v1/chat/completions"
	doneRow = "data: [DONE]\n\n"
)

// The texts of the two versions.
var (
	textA = []string{"a0", "a1", "a2", "a3"}
	textB = []string{"b0", "b1", "b2", "b3"}
)

// tokens writes a generation from its resume position. After cut tokens it
// breaks the connection; a negative cut breaks nothing.
func tokens(w http.ResponseWriter, r *http.Request, text []string, cut int) {
	w.Header().Set("Content-Type", mediaEvents)
	from, _ := strconv.Atoi(r.Header.Get(headerResume))
	for i, s := range text[from:] {
		if i == cut {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, token(s))
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, doneRow)
}

func wholeText(text []string) string {
	var b strings.Builder
	for _, s := range text {
		b.WriteString(token(s))
	}
	return b.String() + doneRow
}

// The first engine breaks off after two tokens. Another that serves the same
// version goes on after them, and the caller sees one whole text.
func TestStreamResumesOnSameVersion(t *testing.T) {
	w := newWorld(t)
	w.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textA, 2)
	}))
	w.addSide("h2", "helper", engineStub(manifestB, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textB, -1)
	}))
	w.addSide("h3", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textA, -1)
	}))
	e := w.addEntry("e1", "h1")
	w.ready(e, "helper", 3)
	r := w.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "text", wholeText(textA), r.Body)
	check(t, "cut", false, r.Cut)
}

// The engine breaks off after two tokens and only another version is left.
// Half of one text and half of another would read as an answer, so the
// caller's stream is cut, with no end mark and no token of the other version.
// The other engine's state may still name the old version.
func TestStreamNeverGoesOnWithAnotherVersion(t *testing.T) {
	for _, told := range []string{manifestB, manifestA} {
		t.Run(told[:10], func(t *testing.T) { neverMixes(t, told) })
	}
}

func neverMixes(t *testing.T, told string) {
	w := newWorld(t)
	w.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		tokens(rw, r, textA, 2)
	}))
	w.addSide("h2", "helper", engineStub(told, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Manifest", manifestB)
		tokens(rw, r, textB, -1)
	}))
	e := w.addEntry("e1", "h1")
	w.ready(e, "helper", 2)
	r := w.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "text", token("a0")+token("a1"), r.Body)
	check(t, "cut", true, r.Cut)
}

// The engine ends its answer in good order but before the end mark. The
// caller must not take it for a whole one.
func TestStreamWithoutEndMarkIsCut(t *testing.T) {
	w := newWorld(t)
	w.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", mediaEvents)
		io.WriteString(rw, token("a0"))
	}))
	e := w.addEntry("e1")
	w.ready(e, "helper", 1)
	r := w.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "text", token("a0"), r.Body)
	check(t, "cut", true, r.Cut)
}

// The caller leaves after the first token. The engine's request ends, so that
// it does not generate for nobody.
func TestCallerLeavingCancelsItsGeneration(t *testing.T) {
	w := newWorld(t)
	ended := make(chan struct{})
	w.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", mediaEvents)
		io.WriteString(rw, token("a0"))
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	e := w.addEntry("e1")
	w.ready(e, "helper", 1)
	res := w.open(e, streamBody)
	if _, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	<-ended
}

// One caller does not read its long stream. The stream waits for credit, and
// another caller of the same side gets its answer meanwhile. When the first
// reads on it gets all.
func TestSlowCallerHoldsUpNobodyElse(t *testing.T) {
	w := newWorld(t)
	long := strings.Repeat("x", 32<<10)
	w.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if !strings.Contains(string(b), "long") {
			tokens(rw, r, textA, -1)
			return
		}
		rw.Header().Set("Content-Type", mediaEvents)
		for range longTokens {
			io.WriteString(rw, token(long))
		}
		io.WriteString(rw, doneRow)
	}))
	e := w.addEntry("e1")
	w.ready(e, "helper", 1)
	slow := w.open(e, `{"model":"helper","stream":true,"messages":[],"user":"long"}`)
	for range 3 {
		r := w.call(e, http.MethodPost, chatURL, streamBody, nil)
		check(t, "text", wholeText(textA), r.Body)
	}
	defer slow.Body.Close()
	n, err := io.Copy(io.Discard, slow.Body)
	check(t, "bytes of the long stream", int64(longTokens*len(token(long))+len(doneRow)), n)
	check(t, "error of the long stream", nil, err)
}

// longTokens make a stream that no buffer on its way holds.
const longTokens = 512

// Two calls are under way on one session; the target answers the later one
// first. Each caller gets its own answer.
func TestCrossedAnswersReachTheirOwnCallers(t *testing.T) {
	w := newWorld(t)
	p := newPayments()
	w.addSide("b1", "booking", p)
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	first := w.goCall(e, "hold", nil)
	<-p.began
	second := <-w.goCall(e, "quick", nil)
	close(p.release)
	check(t, "second", "paid quick", second.Body)
	check(t, "first", "paid hold", (<-first).Body)
}
