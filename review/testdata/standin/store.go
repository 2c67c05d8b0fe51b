package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	historySpan = 20 * time.Second
	pageItems   = 500
)

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	discarded uint64
	revision  uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 40, changed: make(chan struct{})}
}

// put writes an item; its return is the store's acknowledgement.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.revision, Created: created, at: time.Now()}
	s.items[key] = it
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historySpan {
		s.discarded = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		it, ok := s.items[r.URL.Query().Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, struct {
			item
			At uint64 `json:"at"`
		}{it, at})
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			entries = append(entries, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries[:min(len(entries), pageItems)], "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed, discarded := s.revision, s.changed, s.discarded
		s.mu.Unlock()
		if after < discarded || after > at {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
