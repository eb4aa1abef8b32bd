package edge

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/connpool"
)

// Stage is where a request is on its way through the VM.
type Stage string

// Stages of a request.
const (
	// StageReceived: its checks are under way, or it waits for the first configuration.
	StageReceived Stage = "received"
	// StageSuspect: it waits for the trial of a request that may crash upstreams.
	StageSuspect Stage = "suspect"
	// StageQueue: the query waits for a place under the limit of its shards.
	StageQueue Stage = "queue"
	// StageBackoff: no send is open; the next one waits for its time, or the retry budget has
	// none.
	StageBackoff Stage = "backoff"
	// StageConnect: its open sends wait for connections to upstreams.
	StageConnect Stage = "connect"
	// StageUpstream: at least one upstream may be at work on it.
	StageUpstream Stage = "upstream"
	// StageAnswer: its answer is being written.
	StageAnswer Stage = "answer"
)

// Progress is how far a request has come.
type Progress struct {
	ID string
	// Route is empty before the route is known.
	Route string
	Age   time.Duration
	Stage Stage
	// Upstreams are those of the open sends.
	Upstreams []string
	// Sent says that a part of a send has been written, to whichever upstream.
	Sent bool
}

// progress is what Progress needs of a request in flight; other goroutines read it.
type progress struct {
	mu    sync.Mutex
	stage Stage
	route string
	calls []*connpool.Call
	sent  bool
}

func (p *progress) enter(s Stage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage = s
}

func (p *progress) setRoute(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route = name
}

// addCall records a send. It keeps no calls that have ended: a request may be sent many times.
func (p *progress) addCall(c *connpool.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.calls[:0]
	for _, old := range p.calls {
		p.sent = p.sent || old.WasSent()
		if old.State() != connpool.StateEnded {
			kept = append(kept, old)
		}
	}
	p.calls = append(kept, c)
}

// Progress returns how far the request has come. It may be called from any goroutine.
func (r *Request) Progress(now time.Time) Progress {
	r.progress.mu.Lock()
	defer r.progress.mu.Unlock()
	p := Progress{ID: r.Message.ID, Route: r.progress.route, Age: now.Sub(r.Received), Stage: r.progress.stage, Sent: r.progress.sent}
	for _, c := range r.progress.calls {
		state := c.State()
		p.Sent = p.Sent || c.WasSent()
		if state == connpool.StateEnded {
			continue
		}
		p.Upstreams = append(p.Upstreams, c.Upstream.ID)
		if p.Stage == StageBackoff {
			p.Stage = StageConnect
		}
		if state == connpool.StateSent && p.Stage == StageConnect {
			p.Stage = StageUpstream
		}
	}
	return p
}
