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
	// versions is everything published, by document, ascending.
	versions map[string][]platform.Document
	changed  chan struct{}
	down     bool
	// served, when set, hides every revision above it: a stale server.
	served uint64
	// garble, when set, changes the bytes of each answer.
	garble func([]byte) []byte
	// pageBytes bounds the bodies of one answer.
	pageBytes int
}

// platformPageBytes is the size of the answers until SetPageBytes.
const platformPageBytes = 1 << 20

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
	p := &Platform{ln: ln, versions: map[string][]platform.Document{}, changed: make(chan struct{}), pageBytes: platformPageBytes}
	p.http = &fasthttp.Server{Handler: p.handle, CloseOnShutdown: true, Logger: Quiet{}}
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
	return p.write(platform.Document{Name: name, Body: body})
}

// Delete removes a document and returns the revision of that.
func (p *Platform) Delete(name string) uint64 {
	return p.write(platform.Document{Name: name, Deleted: true})
}

func (p *Platform) write(d platform.Document) uint64 {
	p.mu.Lock()
	p.revision++
	d.Revision = p.revision
	p.versions[d.Name] = append(p.versions[d.Name], d)
	p.mu.Unlock()
	p.wake()
	return d.Revision
}

// SetGarble changes the bytes of each answer; nil ends that.
func (p *Platform) SetGarble(garble func([]byte) []byte) {
	p.mu.Lock()
	p.garble = garble
	p.mu.Unlock()
	p.wake()
}

// SetPageBytes bounds the bodies of one answer; what is left out follows.
func (p *Platform) SetPageBytes(n int) {
	p.mu.Lock()
	p.pageBytes = n
	p.mu.Unlock()
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
	ctx.SetBody(p.garbled(body))
}

func (p *Platform) garbled(body []byte) []byte {
	p.mu.Lock()
	garble := p.garble
	p.mu.Unlock()
	if garble == nil {
		return body
	}
	return garble(body)
}

func (p *Platform) read(after uint64) (platform.Changes, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.revision
	if p.served > 0 {
		revision = min(revision, p.served)
	}
	reply := platform.Changes{Revision: revision}
	for _, versions := range p.versions {
		if d, ok := newest(versions, revision); ok && d.Revision > after {
			reply.Documents = append(reply.Documents, d)
		}
	}
	sort.Slice(reply.Documents, func(i, j int) bool { return reply.Documents[i].Revision < reply.Documents[j].Revision })
	p.cut(&reply)
	return reply, p.changed, p.down
}

// newest is the last version up to a revision.
func newest(versions []platform.Document, revision uint64) (platform.Document, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].Revision <= revision {
			return versions[i], true
		}
	}
	return platform.Document{}, false
}

// cut ends the answer before the document that makes it too large.
func (p *Platform) cut(reply *platform.Changes) {
	size := 0
	for i, d := range reply.Documents {
		size += len(d.Body)
		if size > p.pageBytes && i > 0 {
			reply.Documents = reply.Documents[:i]
			reply.Revision = reply.Documents[i-1].Revision
			reply.More = true
			return
		}
	}
}
