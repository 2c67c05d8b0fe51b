package front

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornferry/standin/expect"
)

// An engine reports that its cache holds a prompt's prefix. The event reaches the entry
// through the side's session. Calls with that prompt must then go to this engine
// although another one has the same load.
func TestCacheEventsSteerCalls(t *testing.T) {
	fl := newTestFleet(t)
	content := strings.Repeat("permit desk ", 40)
	prompt := expect.Prompt([]expect.Message{{Role: "system", Content: content}})
	var page []string
	for i, p := range expect.PrefixHashes(prompt) {
		page = append(page, fmt.Sprintf(`{"seq":%d,"action":"stored","prefix":%q}`, i+1, p))
	}
	add := func(name, events string) {
		mux := http.NewServeMux()
		mux.HandleFunc("/v1/events", func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, events) })
		mux.Handle("/", engineStub(manifestA, func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, name) }))
		fl.addSide(name, "helper", mux)
	}
	add("h1", `{"events":[]}`)
	add("h2", `{"events":[`+strings.Join(page, ",")+`]}`)
	e := fl.addEntry("e1")
	fl.waitReady(e, "helper", 2)
	for e.front.knownPrefixes() < len(page) {
		time.Sleep(time.Millisecond)
	}
	body, err := json.Marshal(map[string]any{
		"model":    "helper",
		"messages": []expect.Message{{Role: "system", Content: content}},
	})
	check(t, "request", nil, err)
	for range 5 {
		check(t, "target", "h2", fl.call(e, http.MethodPost, chatURL, string(body), nil).Body)
	}
}

func (s *Server) knownPrefixes() int {
	return s.policy.prefixCount()
}
