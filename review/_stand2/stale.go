package main

import (
	"sync"
	"time"
)

const (
	// valueBytes is the largest value that the store takes.
	valueBytes = 1 << 20
	// staleEntries are written so fast that they take 0.4 s and 700 Mbit/s.
	staleEntries = 32
	entryGap     = 12 * time.Millisecond
	// oldRoute is moved to another service, addedRoute is added.
	oldRoute   = "/moved/"
	addedRoute = "/added/"
)

// stale checks the rule CONFIG: a request that is sent later than config_apply_ms after the
// acknowledgement of a version is not handled as only an older version allows.
func stale(w *world) (broken bool) {
	w.startBackends("desk-old", 3)
	w.startBackends("desk-new", 3)
	w.configure(3, route("r-moved", oldRoute, "desk-old"))
	w.startNodes()
	done, out := make(chan struct{}), make(chan result, 1000)
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		clients.Go(func() { w.client(n, []string{oldRoute + "q", addedRoute + "q"}, done, out) })
	}
	var all []result
	collected := make(chan struct{})
	go func() {
		for r := range out {
			all = append(all, r)
		}
		close(collected)
	}()
	time.Sleep(contact + 2*time.Second)
	if w.trouble {
		w.unreadable(staleEntries, valueBytes, entryGap)
	}
	time.Sleep(2 * time.Second)
	w.configure(7, route("r-moved", oldRoute, "desk-new"), route("r-added", addedRoute, "desk-new"))
	ack := time.Now()
	time.Sleep(22 * time.Second)
	close(done)
	clients.Wait()
	close(out)
	<-collected
	late := map[string]int{}
	asked := map[string]int{}
	var last time.Duration
	for _, r := range all {
		since := r.sent.Sub(ack)
		if since <= configApply || r.err != nil {
			continue
		}
		asked[r.node]++
		switch {
		case r.path == oldRoute+"q" && r.ranBy == "desk-old":
			w.note("CONFIG: %s, sent %.3f s after the acknowledgement to %s, was run by desk-old", r.id, since.Seconds(), r.node)
		case r.path == addedRoute+"q" && r.status == 404:
			w.note("CONFIG: %s, sent %.3f s after the acknowledgement to %s, was refused with 404", r.id, since.Seconds(), r.node)
		default:
			continue
		}
		late[r.node]++
		last = max(last, since)
	}
	for _, n := range w.nodes {
		ends, peak := n.counts()
		w.note("result: %s: %d of %d requests by the old version, at most %d MB, %d ends of its process", n.name, late[n.name], asked[n.name], peak, ends)
		// A machine whose process has ended is judged as well: it counts as running.
	}
	w.note("result: last request by the old version %.3f s after the acknowledgement", last.Seconds())
	return len(late) > 0
}
