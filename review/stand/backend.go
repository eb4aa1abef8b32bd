package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is how a backend answers one request.
type answer struct {
	// work is how long the request holds a slot.
	work time.Duration
	body []byte
	// lose closes the connection after the work without an answer.
	lose bool
}

// run is one request that reached a backend.
type run struct {
	id, method, target string
	body               []byte
	backend            string
	arrived            time.Time
	// started is when the work began, zero if it never did; ended when it was over.
	started, ended time.Time
	// cancelled is set if the connection was closed before the work was over.
	cancelled  bool
	deadlineMS int
}

// backend is a stand-in of one backend of a service.
type backend struct {
	id, service, zone string
	slots, queue      int
	w                 *world
	ln                net.Listener
	slot              chan struct{}
	respond           func(r *run) answer

	// extra reports whether the backend sends its next answer a second time, at the point where
	// the following answer on the same connection is expected.
	extra func() bool

	mu      sync.Mutex
	waiting int
	late    map[net.Conn][]byte
	runs    []*run
	conns   map[net.Conn]bool
	seq     int
	state   string
}

func newBackend(w *world, id, service, zone string, slots, queue int, respond func(r *run) answer) (*backend, error) {
	ln, err := net.Listen("tcp", w.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, slots: slots, queue: queue, w: w, ln: ln,
		slot: make(chan struct{}, slots), respond: respond, conns: map[net.Conn]bool{}, late: map[net.Conn][]byte{}, state: "ready"}
	go b.accept()
	return b, nil
}

func (b *backend) register() time.Time {
	b.mu.Lock()
	b.seq++
	seq, state := b.seq, b.state
	b.mu.Unlock()
	return b.w.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "addr": b.ln.Addr().String(), "zone": b.zone, "version": "v1",
		"slots": b.slots, "state": state, "cold_left_ms": 0, "seq": seq,
	})
}

func (b *backend) accept() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// serve reads requests from one connection, one after the other.
func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		delete(b.late, c)
		b.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			b.write(c, 200, "", "X-Sycamorekeel-Instance-Id: "+b.id+"\r\n", nil)
			continue
		}
		if !b.handle(c, br, req, body) {
			return
		}
	}
}

func (b *backend) handle(c net.Conn, br *bufio.Reader, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Sycamorekeel-Request-Id")
	deadline, _ := strconv.Atoi(req.Header.Get("X-Sycamorekeel-Deadline-Ms"))
	r := &run{id: id, method: req.Method, target: req.RequestURI, body: body, backend: b.id, arrived: time.Now(), deadlineMS: deadline}
	expected := req.Header.Get("X-Sycamorekeel-Expect-Instance")
	b.sendExtra(c, id)
	b.mu.Lock()
	b.runs = append(b.runs, r)
	full := len(b.slot) == b.slots && b.waiting >= b.queue
	b.mu.Unlock()
	switch {
	case id == "":
		return b.write(c, 400, id, "X-Sycamorekeel-Not-Executed: 1\r\n", nil)
	case expected != "" && expected != b.id:
		return b.write(c, 421, id, "X-Sycamorekeel-Not-Executed: 1\r\n", nil)
	case full:
		return b.write(c, 503, id, "X-Sycamorekeel-Not-Executed: 1\r\n", nil)
	}
	// A closed connection ends the work.
	gone := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, err := br.Peek(1)
		var ne net.Error
		if err != nil && !(errors.As(err, &ne) && ne.Timeout()) {
			close(gone)
		}
	}()
	limit := time.After(time.Duration(max(deadline, 1)) * time.Millisecond)
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	got, left := false, false
	select {
	case b.slot <- struct{}{}:
		got = true
	case <-gone:
		left = true
	case <-limit:
	}
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
	if left {
		b.w.requestf(id, "backend %s: %s left the queue, its connection was closed", b.id, id)
		return false
	}
	if !got {
		b.w.requestf(id, "backend %s: the deadline of %s has passed in the queue", b.id, id)
		c.SetReadDeadline(time.Unix(1, 0))
		<-watched
		c.SetReadDeadline(time.Time{})
		return b.write(c, 503, id, "X-Sycamorekeel-Not-Executed: 1\r\n", nil)
	}
	a := b.respond(r)
	b.mu.Lock()
	r.started = time.Now()
	b.mu.Unlock()
	b.w.requestf(id, "backend %s: %s runs (%s %s, deadline %d ms)", b.id, id, r.method, r.target, deadline)
	late := false
	select {
	case <-time.After(a.work):
	case <-gone:
		r.cancelled = true
	case <-limit:
		late = true
	}
	<-b.slot
	b.mu.Lock()
	r.ended = time.Now()
	b.mu.Unlock()
	if r.cancelled {
		b.w.requestf(id, "backend %s: %s ended, its connection was closed after %v of work", b.id, id, r.ended.Sub(r.started).Round(time.Millisecond))
		return false
	}
	// The reader must be free before the next request is read.
	c.SetReadDeadline(time.Unix(1, 0))
	<-watched
	c.SetReadDeadline(time.Time{})
	stamp := fmt.Sprintf("X-Sycamorekeel-Server-Stamp: %s.%s\r\n", b.id, id)
	if late {
		return b.write(c, 504, id, stamp, nil)
	}
	if a.lose {
		b.w.requestf(id, "backend %s: %s has run, its answer is lost", b.id, id)
		return false
	}
	b.w.requestf(id, "backend %s: %s answered after %v", b.id, id, r.ended.Sub(r.arrived).Round(time.Millisecond))
	return b.write(c, 200, id, stamp, a.body)
}

func (b *backend) write(c net.Conn, status int, id, headers string, body []byte) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&out, "X-Sycamorekeel-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&out, "%sContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n", headers, len(body))
	out.Write(body)
	_, err := c.Write(out.Bytes())
	if id != "" && b.extra != nil && b.extra() {
		b.w.requestf(id, "backend %s: will send its answer %d to %s a second time", b.id, status, id)
		b.mu.Lock()
		b.late[c] = out.Bytes()
		b.mu.Unlock()
	}
	return err == nil
}

// sendExtra sends the second copy of an earlier answer.
func (b *backend) sendExtra(c net.Conn, id string) {
	b.mu.Lock()
	extra := b.late[c]
	delete(b.late, c)
	b.mu.Unlock()
	if extra != nil {
		b.w.requestf(id, "backend %s: sends the second copy as %s arrives on the connection", b.id, id)
		c.Write(extra)
	}
}

// allRuns returns copies of the requests that have reached the backend.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, r := range b.runs {
		out = append(out, *r)
	}
	return out
}
