package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// Behaviour is how an upstream treats requests; it may be changed at any time.
type Behaviour struct {
	// Median and Spread shape the service time: median * exp(spread * normal).
	Median time.Duration
	Spread float64
	// Slow multiplies every service time; 0 means 1.
	Slow float64
	// Slots is how many requests run at a time; more are shed. 0 means any.
	Slots int
	// ShedAll refuses every request for want of a slot.
	ShedAll bool
	// Draining refuses new work and says so.
	Draining bool
	// Hang takes requests and never answers them in time.
	Hang bool
	// IgnoreCancels takes cancellations and stops nothing.
	IgnoreCancels bool
	// Cold slows the first requests down by ColdFactor.
	Cold       int
	ColdFactor float64
	// Snapshots it serves; nil means any.
	Snapshots []string
	// Hits in each answer.
	Hits int
	// Padding is added to each answer, in bytes.
	Padding int
	// CloseAfterRead runs a request and closes its connection without answer.
	CloseAfterRead bool
	// CrashOn ends the upstream's process under a request whose body holds it; empty for none.
	CrashOn string
	// AnnounceDrain says in every answer that it drains, and still serves.
	AnnounceDrain bool
	// OpenDelay is added to the first request of each connection: what opening
	// one costs.
	OpenDelay time.Duration
	// HealthDown makes the health endpoint fail.
	HealthDown bool
	// LagHealth, when set, is what the health endpoint says in place of the truth.
	LagHealth *upstream.Health
}

// Upstream is one stand-in server of a service.
type Upstream struct {
	name    string
	address string

	running atomic.Int64
	served  atomic.Int64
	shed    atomic.Int64
	conns   atomic.Int64
	peak    atomic.Int64
	opened  atomic.Int64
	probes  atomic.Int64
	// cancelled counts the requests that ended by a cancellation.
	cancelled atomic.Int64

	mu        sync.Mutex
	http      *fasthttp.Server
	ln        net.Listener
	down      bool
	open      map[net.Conn]bool
	behaviour Behaviour
	rng       *rand.Rand
	// runs counts the executions of each request id.
	runs map[string]int
	// bodies counts the executions of each request body.
	bodies  map[string]int
	cancels map[string]chan struct{}
	// serving are the connections of requests that run, by body.
	serving map[string]net.Conn
	// releases end the service time of requests, by body.
	releases map[string]chan struct{}
}

// StartUpstream serves on a free loopback port until Close.
func StartUpstream(name string, seed uint64, b Behaviour) (*Upstream, error) {
	return StartUpstreamAt("127.0.0.1:0", name, seed, b)
}

// StartUpstreamAt serves at address until Close.
func StartUpstreamAt(address, name string, seed uint64, b Behaviour) (*Upstream, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		name:      name,
		address:   ln.Addr().String(),
		open:      map[net.Conn]bool{},
		behaviour: b,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		runs:      map[string]int{},
		bodies:    map[string]int{},
		cancels:   map[string]chan struct{}{},
		releases:  map[string]chan struct{}{},
		serving:   map[string]net.Conn{},
	}
	u.serveAt(ln)
	return u, nil
}

// serveAt begins to serve. The caller holds mu, or is the only one that knows u.
func (u *Upstream) serveAt(ln net.Listener) {
	u.ln = ln
	u.down = false
	u.http = &fasthttp.Server{Handler: u.handle, ConnState: u.connState, CloseOnShutdown: true, Logger: Quiet{}}
	server := u.http
	go func() { _ = server.Serve(ln) }()
}

// crash ends the process: nobody listens any more, and all connections end.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
	_ = u.ln.Close()
	for c := range u.open {
		_ = c.Close()
	}
}

// Down tells whether the process has ended.
func (u *Upstream) Down() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down
}

// Revive starts the process again at its address if it has ended.
func (u *Upstream) Revive() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down {
		return nil
	}
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.serveAt(ln)
	return nil
}

// Address is where it listens.
func (u *Upstream) Address() string { return u.address }

// Close stops serving.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.behaviour.Hang = false
	for _, c := range u.cancels {
		close(c)
	}
	u.cancels = map[string]chan struct{}{}
	server := u.http
	u.mu.Unlock()
	_ = server.Shutdown()
}

// Change edits the behaviour.
func (u *Upstream) Change(edit func(*Behaviour)) {
	u.mu.Lock()
	edit(&u.behaviour)
	u.mu.Unlock()
}

// Served is the number of requests that ran; Shed of those refused for want of
// a slot; Peak of the most connections open at a time.
func (u *Upstream) Served() int64 { return u.served.Load() }
func (u *Upstream) Shed() int64   { return u.shed.Load() }
func (u *Upstream) Peak() int64   { return u.peak.Load() }

// Open is the number of connections open now; Opened of those opened so far.
func (u *Upstream) Open() int64   { return u.conns.Load() }
func (u *Upstream) Opened() int64 { return u.opened.Load() }

// Running is the number of requests under way; Cancelled of those ended by a
// cancellation; Probes of the calls of the health endpoint.
func (u *Upstream) Running() int64   { return u.running.Load() }
func (u *Upstream) Cancelled() int64 { return u.cancelled.Load() }
func (u *Upstream) Probes() int64    { return u.probes.Load() }

// MostRuns is the highest number of executions of one request body.
func (u *Upstream) MostRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for _, n := range u.bodies {
		most = max(most, n)
	}
	return most
}

// RunsOf is the number of executions of a request body.
func (u *Upstream) RunsOf(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bodies[body]
}

// Runs is the number of executions of each request body that holds text.
func (u *Upstream) Runs(text string) map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[string]int{}
	for body, n := range u.bodies {
		if strings.Contains(body, text) {
			out[body] = n
		}
	}
	return out
}

func (u *Upstream) connState(c net.Conn, state fasthttp.ConnState) {
	u.mu.Lock()
	if state == fasthttp.StateNew {
		u.open[c] = true
	} else if state == fasthttp.StateClosed {
		delete(u.open, c)
	}
	u.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		u.opened.Add(1)
		n := u.conns.Add(1)
		for p := u.peak.Load(); n > p && !u.peak.CompareAndSwap(p, n); p = u.peak.Load() {
		}
	case fasthttp.StateClosed:
		u.conns.Add(-1)
	}
}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case upstream.HealthPath:
		u.health(ctx)
	case upstream.CancelPath:
		u.cancel(string(ctx.QueryArgs().Peek("id")))
	default:
		u.serve(ctx)
	}
}

func (u *Upstream) health(ctx *fasthttp.RequestCtx) {
	u.probes.Add(1)
	u.mu.Lock()
	b := u.behaviour
	u.mu.Unlock()
	if b.HealthDown {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	h := upstream.Health{State: "ready", Snapshots: b.Snapshots}
	if b.Slots > 0 {
		h.Load = float64(u.running.Load()) / float64(b.Slots)
	}
	if b.Cold > 0 {
		h.State = "cold"
	}
	if b.Draining || b.AnnounceDrain {
		h.State = "draining"
	}
	if b.LagHealth != nil {
		h = *b.LagHealth
	}
	body, _ := json.Marshal(h)
	ctx.SetBody(body)
}

func (u *Upstream) cancel(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c, ok := u.cancels[id]; ok && !u.behaviour.IgnoreCancels {
		close(c)
		delete(u.cancels, id)
	}
}

func (u *Upstream) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(upstream.HeaderRequestID))
	snapshot := string(ctx.Request.Header.Peek(upstream.HeaderSnapshot))
	running := u.running.Add(1)
	defer u.running.Add(-1)
	u.mu.Lock()
	b := u.behaviour
	if why := refuse(&b, running, snapshot); why != "" {
		u.mu.Unlock()
		u.refuse(ctx, why, b.Draining)
		return
	}
	took := u.serviceTime(&b)
	u.runs[id]++
	u.bodies[string(ctx.PostBody())]++
	stop, release := make(chan struct{}), make(chan struct{})
	u.cancels[id] = stop
	u.releases[string(ctx.PostBody())] = release
	u.serving[string(ctx.PostBody())] = ctx.Conn()
	u.mu.Unlock()
	u.served.Add(1)
	if b.CrashOn != "" && strings.Contains(string(ctx.PostBody()), b.CrashOn) {
		u.forget(id, string(ctx.PostBody()))
		u.crash()
		return
	}
	if b.CloseAfterRead {
		_ = ctx.Conn().Close()
		return
	}
	if b.OpenDelay > 0 && ctx.ConnRequestNum() == 1 {
		time.Sleep(b.OpenDelay)
	}
	if b.AnnounceDrain {
		ctx.Response.Header.Set(upstream.HeaderDraining, "1")
	}
	if !u.wait(ctx, id, took, stop, release) {
		return
	}
	shard := string(ctx.Request.Header.Peek(upstream.HeaderShard))
	ctx.Response.Header.Set(upstream.HeaderSnapshot, snapshot)
	ctx.SetBody(append(hits(shard, snapshot, ctx.PostBody(), &b), make([]byte, b.Padding)...))
}

// wait spends the service time; false when the request was cancelled or its
// deadline has passed.
func (u *Upstream) wait(ctx *fasthttp.RequestCtx, id string, took time.Duration, stop, release chan struct{}) bool {
	timer := time.NewTimer(took)
	defer timer.Stop()
	defer u.forget(id, string(ctx.PostBody()))
	select {
	case <-timer.C:
		return true
	case <-release:
		return true
	case <-stop:
		u.cancelled.Add(1)
		ctx.SetStatusCode(fasthttp.StatusGone)
		return false
	}
}

func (u *Upstream) forget(id, body string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.cancels, id)
	delete(u.releases, body)
	delete(u.serving, body)
}

// CloseConnection ends the connection of the request with this body and its
// service time.
func (u *Upstream) CloseConnection(body string) {
	u.mu.Lock()
	conn, release := u.serving[body], u.releases[body]
	delete(u.releases, body)
	u.mu.Unlock()
	if conn == nil || release == nil {
		return
	}
	_ = conn.Close()
	close(release)
}

// Release ends the service time of the request with this body now; it is then
// answered as usual.
func (u *Upstream) Release(body string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c, ok := u.releases[body]; ok {
		close(c)
		delete(u.releases, body)
	}
}

// ReleaseAll ends the service times of all requests that run.
func (u *Upstream) ReleaseAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.releases {
		close(c)
	}
	clear(u.releases)
}

func refuse(b *Behaviour, running int64, snapshot string) string {
	switch {
	case b.Draining:
		return upstream.NotRunDraining
	case b.ShedAll || b.Slots > 0 && running > int64(b.Slots):
		return upstream.NotRunShed
	case b.Snapshots != nil && !contains(b.Snapshots, snapshot):
		return upstream.NotRunSnapshot
	default:
		return ""
	}
}

func (u *Upstream) refuse(ctx *fasthttp.RequestCtx, why string, draining bool) {
	if why == upstream.NotRunShed {
		u.shed.Add(1)
	}
	if draining {
		ctx.Response.Header.Set(upstream.HeaderDraining, "1")
	}
	ctx.Response.Header.Set(upstream.HeaderNotRun, why)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// serviceTime draws the time of one request. The caller holds mu.
func (u *Upstream) serviceTime(b *Behaviour) time.Duration {
	if b.Hang {
		return time.Minute
	}
	t := float64(b.Median) * expNormal(u.rng, b.Spread)
	if b.Slow > 0 {
		t *= b.Slow
	}
	if b.Cold > 0 {
		t *= b.ColdFactor
		u.behaviour.Cold--
	}
	return time.Duration(t)
}

// Fields of a hit tell where it came from, so that tests can check answers.
type Fields struct {
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	// Key is the key of the request's body.
	Key string `json:"key"`
}

func hits(shard, snapshot string, request []byte, b *Behaviour) []byte {
	var asked struct {
		Key string `json:"key"`
	}
	_ = json.Unmarshal(request, &asked)
	fields, _ := json.Marshal(Fields{Shard: shard, Snapshot: snapshot, Key: asked.Key})
	var h query.Hits
	for i := range b.Hits {
		h.Hits = append(h.Hits, query.Hit{
			ID:     "doc-" + shard + "-" + strconv.Itoa(i),
			Score:  1 / float64(i+1),
			Fields: fields,
		})
	}
	body, _ := json.Marshal(h)
	return body
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
