package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes limit one page of a listing.
	pageItems = 500
	pageBytes = 1 << 20
	// history is for how long the store keeps changes.
	history = 20 * time.Second
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	maxWait    = 30 * time.Second
)

// item is a version of a key, or its deletion.
type item struct {
	key          string
	value        []byte
	rev, created uint64
	deleted      bool
	at           time.Time
}

// store is a stand-in of the platform's store.
type store struct {
	ln net.Listener

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, rev: 1, items: map[string]item{}, changed: make(chan struct{})}
	go http.Serve(ln, s) // ends with the listener
	return s, nil
}

// put writes a key. Its return is the acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{key: key, value: value, rev: s.rev, created: s.rev, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.created = old.created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(key, text)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	status, answer := http.StatusNotFound, map[string]any{}
	switch r.URL.Path {
	case "/api/kv-key":
		status, answer = s.get(q.Get("key"))
	case "/api/kv-range":
		status, answer = http.StatusOK, s.list(q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, err2 := strconv.Atoi(q.Get("wait_ms"))
		if err != nil || err2 != nil || wait < 0 || time.Duration(wait)*time.Millisecond > maxWait {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, answer = s.watch(q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	}
	time.Sleep(answerTime)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status == http.StatusOK {
		_ = json.NewEncoder(w).Encode(answer) // fails only when the caller has left
	}
}

func (s *store) get(key string) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	out := it.encode()
	out["store_revision"] = s.rev
	return http.StatusOK, out
}

func (s *store) list(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []any{}, 0, false
	for _, k := range keys {
		size += len(s.items[k].value)
		if len(items) == pageItems || len(items) > 0 && size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[k].encode())
	}
	return map[string]any{"items": items, "has_more": more, "store_revision": s.rev}
}

// watch waits for changes after a revision. It answers 410 if the store has dropped some of them.
func (s *store) watch(prefix string, after uint64, wait time.Duration) (int, map[string]any) {
	end := time.After(wait)
	for waited := false; ; {
		s.mu.Lock()
		gone := s.dropHistory() > after
		events := []any{}
		for _, e := range s.events {
			if e.rev > after && strings.HasPrefix(e.key, prefix) {
				events = append(events, e.encode())
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if gone {
			return http.StatusGone, nil
		}
		if len(events) > 0 || waited {
			return http.StatusOK, map[string]any{"events": events, "store_revision": rev}
		}
		select {
		case <-changed:
		case <-end:
			waited = true
		}
	}
}

// dropHistory drops the changes that are too old and returns the revision of the last dropped one.
// The caller holds mu.
func (s *store) dropHistory() uint64 {
	n := 0
	for n < len(s.events) && time.Since(s.events[n].at) > history {
		n++
	}
	s.events = s.events[n:]
	if len(s.events) > 0 {
		return s.events[0].rev - 1
	}
	return s.rev
}

func (it item) encode() map[string]any {
	if it.deleted {
		return map[string]any{"key": it.key, "mod_revision": it.rev, "deleted": true}
	}
	return map[string]any{
		"key": it.key, "value": base64.StdEncoding.EncodeToString(it.value),
		"mod_revision": it.rev, "created": it.created, "lease": 0,
	}
}
