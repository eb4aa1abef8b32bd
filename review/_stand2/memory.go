package main

import (
	"sync"
	"time"
)

// memoryEntries is below the number of backends of either sheet's small deployment.
const memoryEntries = 72

// memory checks the rule Fault: processes do not end by themselves three times on a tenth of the
// machines in use, two at least. Memory over the limit counts.
func memory(w *world) (broken bool) {
	w.startBackends("desk-old", 3)
	w.startBackends("desk-new", 3)
	w.configure(3, route("r-moved", oldRoute, "desk-old"))
	w.startNodes()
	done, out := make(chan struct{}), make(chan result, 1000)
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		clients.Go(func() { w.client(n, []string{oldRoute + "q"}, done, out) })
	}
	collected := make(chan struct{})
	go func() {
		for range out {
		}
		close(collected)
	}()
	time.Sleep(contact + 2*time.Second)
	if w.trouble {
		w.unreadable(memoryEntries, valueBytes, entryGap)
	}
	time.Sleep(60 * time.Second)
	close(done)
	clients.Wait()
	close(out)
	<-collected
	often := 0
	for _, n := range w.nodes {
		ends, peak := n.counts()
		w.note("result: %s: its process has ended %d times, at most %d MB of %d", n.name, ends, peak, memoryMB)
		if ends >= 3 {
			often++
		}
	}
	return often >= max(2, machines/10)
}
