package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateStop stops one daemon with SIGTERM. Clients that hold a valid directory answer go on using
// connections that they opened before. Requests that the daemon reads later than 3 s after the
// signal and passes on to a backend must be answered.
func lateStop(w *world, trouble bool) (int, error) {
	const work = 1300 * time.Millisecond
	for i, zone := range zones {
		b, err := newBackend(w, fmt.Sprintf("i-%d", i+1), "deed-vault", zone, 3, 12, func(*run) answer {
			return answer{work: work, body: []byte("a deed record")}
		})
		if err != nil {
			return failed, err
		}
		w.backend = append(w.backend, b)
		b.register()
	}
	w.store.put("op/config", config(1, []map[string]any{{
		"name": "deed-fetch", "host": "registry.example", "prefix": "/deeds/", "service": "deed-vault", "type": "safe",
		"attempts": 2, "timeout_ms": 15000, "slo_ms": 1000, "priority": 2,
	}}, "deed-vault"))
	if err := w.startNodes(3); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	stopped := w.nodes[0]
	addrs, ttl, err := stopped.resolve("registry.example", stopped.zoneRegion(), stopped.zone)
	if err != nil {
		return failed, err
	}
	w.logf("directory: %v, ttl_s %v", addrs, ttl)
	const clients = 12
	conns := make([]*client, clients)
	for i := range conns {
		c, err := w.dial(stopped.ip + ":8226")
		if err != nil {
			return failed, err
		}
		defer c.close()
		conns[i] = c
	}
	at := time.Now()
	if trouble {
		if err := stopped.signal(syscall.SIGTERM); err != nil {
			return failed, err
		}
		w.logf("%s: SIGTERM", stopped.name)
	}
	results := make([]result, clients)
	var wg sync.WaitGroup
	for i, c := range conns {
		// From 3.2 to 4.3 s after the signal, while the directory answer is valid.
		time.Sleep(time.Until(at.Add(3200*time.Millisecond + time.Duration(i)*100*time.Millisecond)))
		wg.Go(func() {
			results[i] = c.do("GET", "registry.example", fmt.Sprintf("/deeds/%d", i), fmt.Sprintf("late-%02d", i), 15*time.Second, nil)
		})
	}
	wg.Wait()
	lost := 0
	for _, r := range results {
		ran := w.ran(r.id)
		w.logf("%s: sent %.2f s after the signal, status %d, error %v, reached %d backends", r.id, r.sent.Sub(at).Seconds(), r.status, r.err, len(ran))
		if r.err != nil && len(ran) > 0 && r.ended.Sub(r.sent) < 15*time.Second {
			lost++
		}
	}
	w.logf("%d of %d requests were passed on to a backend and have no answer", lost, clients)
	fmt.Printf("%d of %d requests lost\n", lost, clients)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

func (nd *node) zoneRegion() string { return regions[nd.zone] }

// ran returns the arrivals of a request at all backends.
func (w *world) ran(id string) []run {
	var out []run
	for _, b := range w.backend {
		for _, r := range b.allRuns() {
			if r.id == id {
				out = append(out, r)
			}
		}
	}
	return out
}
