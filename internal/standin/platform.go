// Package standin holds small stand-ins for the outside systems: upstreams and
// the platform's configuration service. Tests, benchmarks and the demo use them;
// no daemon does.
package standin

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/platform"
)

// Platform serves published documents over HTTP with a long poll.
type Platform struct {
	http  *fasthttp.Server
	ln    net.Listener
	reads atomic.Int64

	mu       sync.Mutex
	revision uint64
	docs     map[string]platform.Document
	changed  chan struct{}
	down     bool
	// served, when set, hides every revision above it: a stale reader.
	served uint64
}

// StartPlatform serves on a free loopback port until Close.
func StartPlatform() (*Platform, error) {
	return StartPlatformAt("127.0.0.1:0")
}

// StartPlatformAt serves at address until Close.
func StartPlatformAt(address string) (*Platform, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Platform{ln: ln, docs: map[string]platform.Document{}, changed: make(chan struct{})}
	p.http = &fasthttp.Server{Handler: p.handle, CloseOnShutdown: true}
	go func() { _ = p.http.Serve(ln) }()
	return p, nil
}

// Address is where it listens.
func (p *Platform) Address() string { return p.ln.Addr().String() }

// Reads is the number of calls so far, watches included.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// Close stops serving; watches in flight are answered.
func (p *Platform) Close() {
	p.wake()
	_ = p.http.Shutdown()
}

// Publish writes a document and returns its revision.
func (p *Platform) Publish(name string, body []byte) uint64 {
	p.mu.Lock()
	p.revision++
	rev := p.revision
	p.docs[name] = platform.Document{Name: name, Revision: rev, Body: body}
	p.mu.Unlock()
	p.wake()
	return rev
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	p.wake()
}

// SetStale hides every revision above rev; 0 ends that.
func (p *Platform) SetStale(rev uint64) {
	p.mu.Lock()
	p.served = rev
	p.mu.Unlock()
	p.wake()
}

func (p *Platform) wake() {
	p.mu.Lock()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	p.reads.Add(1)
	if string(ctx.Path()) != platform.ChangesPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	reply, changed, down := p.read(after)
	if !down && reply.Revision <= after && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		}
		reply, _, down = p.read(after)
	}
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body, _ := json.Marshal(reply)
	ctx.SetBody(body)
}

func (p *Platform) read(after uint64) (platform.Changes, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.revision
	if p.served > 0 {
		revision = min(revision, p.served)
	}
	reply := platform.Changes{Revision: revision}
	for _, d := range p.docs {
		if d.Revision > after && d.Revision <= revision {
			reply.Documents = append(reply.Documents, d)
		}
	}
	sort.Slice(reply.Documents, func(i, j int) bool { return reply.Documents[i].Revision < reply.Documents[j].Revision })
	return reply, p.changed, p.down
}
