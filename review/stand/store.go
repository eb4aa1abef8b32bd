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

// pageItems is the number of items in one page of a listing.
const pageItems = 500

type item struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	deleted  bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	ln net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-range", s.list)
	mux.HandleFunc("/api/kv-key", s.key)
	mux.HandleFunc("/api/kv-watch", s.watch)
	go http.Serve(ln, mux)
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// put writes an item and returns when the store acknowledged it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{key: key, value: data, revision: s.revision, created: s.revision}
	if old, ok := s.items[key]; ok {
		it.created = old.created
	}
	s.items[key] = it
	s.publish(it)
	return time.Now()
}

// remove deletes an item.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.publish(item{key: key, revision: s.revision, deleted: true})
	}
	return time.Now()
}

func (s *store) publish(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, encodeItem(s.items[k]))
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	out := encodeItem(it)
	out["store_revision"] = s.revision
	writeJSON(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil || waitMS < 0 || waitMS > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.revision > after && strings.HasPrefix(e.key, q.Get("prefix")) {
				events = append(events, encodeItem(e))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-until:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func encodeItem(it item) map[string]any {
	if it.deleted {
		return map[string]any{"key": it.key, "mod_revision": it.revision, "deleted": true}
	}
	return map[string]any{
		"key": it.key, "value": base64.StdEncoding.EncodeToString(it.value),
		"mod_revision": it.revision, "created": it.created, "lease": 0,
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}
