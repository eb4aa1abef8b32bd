package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "extra-answer".
const (
	extraServices = 5
	extraWork     = 28 * time.Millisecond
	extraSlots    = 3
	extraQueue    = 3
	// extraClients is the number of clients of each service at each daemon.
	extraClients = 2
	// The backends of three of the five services send three in a hundred answers twice, for five
	// seconds at a time.
	extraGarbled = 3
	extraAnswers = 0.03
	extraWindow  = 5 * time.Second
	extraWindows = 3
	// extraPause is the longest pause of a client between two requests.
	extraPause = 40 * time.Millisecond
)

// extraAnswer sends unsafe requests to services whose backends are full now and then and say so.
// For some seconds, some backends send a second copy of some of their answers, which arrives
// where the next answer on the connection is expected. No request may run twice, and none that
// is answered 429 or 503 may run.
func extraAnswer(w *world, trouble bool) (int, error) {
	w.brief = true
	var garbling atomic.Bool
	var routes []map[string]any
	var services []string
	for s := range extraServices {
		service := fmt.Sprintf("jobs-%d", s+1)
		services = append(services, service)
		routes = append(routes, map[string]any{
			"name": service, "host": "registry.example", "prefix": "/" + service + "/", "service": service, "type": "unsafe",
			"attempts": 2, "timeout_ms": 4000, "slo_ms": 250, "priority": 1, "home_regions": []string{"north"},
		})
		for i, zone := range zones {
			b, err := newBackend(w, fmt.Sprintf("i-%d-%d", s+1, i+1), service, zone, extraSlots, extraQueue, func(*run) answer {
				return answer{work: extraWork, body: []byte("a job record")}
			})
			if err != nil {
				return failed, err
			}
			if s < extraGarbled {
				b.extra = func() bool { return garbling.Load() && rand.Float64() < extraAnswers }
			}
			w.backend = append(w.backend, b)
			b.register()
		}
	}
	w.store.put("op/config", config(1, routes, services...))
	if err := w.startNodes(9); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	done := make(chan struct{})
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for n, nd := range w.nodes {
		for _, service := range services {
			for k := range extraClients {
				wg.Go(func() {
					got := w.sendJobs(nd, service, fmt.Sprintf("%s-%d-%d", service, n+1, k+1), done)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, got...)
				})
			}
		}
	}
	for range extraWindows {
		time.Sleep(time.Second)
		if trouble {
			garbling.Store(true)
			w.logf("the backends of three of the five services begin to send 3 in 100 answers twice")
		}
		time.Sleep(extraWindow)
		garbling.Store(false)
		w.logf("backends send each answer once")
	}
	time.Sleep(time.Second)
	close(done)
	wg.Wait()
	time.Sleep(time.Second)
	return w.judgeJobs(results), nil
}

// sendJobs sends one unsafe request after the other to a daemon, as one client, until done. It
// honours Retry-After and repeats nothing.
func (w *world) sendJobs(nd *node, service, name string, done <-chan struct{}) []result {
	var results []result
	var c *client
	for i := 0; ; i++ {
		select {
		case <-done:
			return results
		default:
		}
		if c == nil {
			var err error
			if c, err = w.dial(nd.ip + ":8226"); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		r := c.do("POST", "registry.example", "/"+service+"/run", fmt.Sprintf("%s-%d", name, i), 4*time.Second, []byte("run"))
		results = append(results, r)
		if r.err != nil {
			c.close()
			c = nil
		}
		time.Sleep(r.retryAfter() + time.Duration(rand.Int64N(int64(extraPause))))
	}
}

// judgeJobs compares what ran with what clients were told.
func (w *world) judgeJobs(results []result) int {
	runs := map[string]int{}
	for _, b := range w.backend {
		for _, r := range b.allRuns() {
			if !r.started.IsZero() {
				runs[r.id]++
			}
		}
	}
	twice, refused := 0, 0
	count := map[int]int{}
	for _, r := range results {
		count[r.status]++
		w.logf("%s: sent at %.3f, status %d at %.3f, ran %d times", r.id, w.since(r.sent), r.status, w.since(r.ended), runs[r.id])
		if runs[r.id] > 1 {
			twice++
			w.logf("TWICE: %s ran %d times, its client got %d", r.id, runs[r.id], r.status)
			w.writeDetails(r.id)
		}
		if (r.status == 503 || r.status == 429) && runs[r.id] > 0 {
			refused++
			w.logf("REFUSED: %s ran %d times, its client got %d", r.id, runs[r.id], r.status)
			w.writeDetails(r.id)
		}
	}
	summary := fmt.Sprintf("%d requests, by status %v: %d ran more than once, %d were refused and ran", len(results), count, twice, refused)
	w.logf("%s", summary)
	fmt.Println(summary)
	if twice+refused > 0 {
		return broken
	}
	return held
}
