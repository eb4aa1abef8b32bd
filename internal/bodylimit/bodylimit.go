// Package bodylimit bounds the memory of HTTP response bodies. A faulty sender may declare any
// length or send bytes without end, and many may do so at the same time, so that a limit for each
// response is not enough. The time of a response is bounded by the deadline of its connection.
//
// Lock order: Memory.mu is a leaf lock; abort functions are called without it.
package bodylimit

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Errors of ReadBody.
var (
	// ErrTooLarge: the body exceeds the limit for one response.
	ErrTooLarge = errors.New("the response body is too large")
	// ErrNoMemory: the bodies of all responses together exceed the limit, and this one is the
	// largest that is being read.
	ErrNoMemory = errors.New("too many bytes of response bodies are held")
)

// minLease is the size in bytes from which a body counts. Smaller ones are bounded by the number
// of requests in flight.
const minLease = 4 << 10

// Memory limits the bytes of all response bodies that are being read or still in use. It is safe
// for concurrent use.
type Memory struct {
	limit   int
	onAbort func()

	mu   sync.Mutex
	used int
	// reading holds the leases of bodies that are being read.
	reading map[*Lease]bool
}

// NewMemory returns a limit in bytes. onAbort is called for each body that is given up for it.
func NewMemory(limit int, onAbort func()) *Memory {
	return &Memory{limit: limit, onAbort: onAbort, reading: map[*Lease]bool{}}
}

// Used returns the bytes held.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Lease is the memory of one body. The nil Lease holds nothing.
type Lease struct {
	memory  *Memory
	held    int
	aborted bool
	// abort ends the connection that the body is read from.
	abort func()
}

// Release gives the memory back once the body is no longer used. It may be called more than once.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	m := l.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(l)
}

// Close implements io.Closer by Release.
func (l *Lease) Close() error {
	l.Release()
	return nil
}

// drop forgets a lease. The caller holds mu.
func (m *Memory) drop(l *Lease) {
	m.used -= l.held
	l.held = 0
	delete(m.reading, l)
}

// ReadBody reads the streamed body of a response, of at most limit bytes, into the response and
// returns the memory that it takes, nil if it is small. When memory runs out, the largest body that
// is being read is given up, so that a few endless responses do not end all others. abort must make
// the connection's reads fail. After an error the connection cannot be used any more.
func (m *Memory) ReadBody(resp *fasthttp.Response, limit int, abort func()) (*Lease, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	lease := &Lease{memory: m, abort: abort}
	body, err := lease.read(stream, resp.Header.ContentLength(), limit)
	if err != nil {
		lease.Release()
		abort()
		return nil, err
	}
	m.mu.Lock()
	delete(m.reading, lease)
	m.mu.Unlock()
	if err := resp.CloseBodyStream(); err != nil {
		lease.Release()
		return nil, trace.Wrap(err)
	}
	resp.SetBodyRaw(body)
	return lease, nil
}

// Do sends a request with a client and reads the body of the response, of at most limit bytes. The
// timeout includes the body.
func (m *Memory) Do(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration, limit int) (*Lease, error) {
	resp.StreamBody = true
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return nil, trace.Wrap(err)
	}
	abort := func() {}
	if stream, ok := resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		// The stream's Close returns no error.
		abort = func() { _ = stream.CloseWithError(ErrNoMemory) }
	}
	return m.ReadBody(resp, limit, abort)
}

// read reads a stream. The buffer grows as bytes arrive: the declared length, negative for none,
// proves nothing.
func (l *Lease) read(stream io.Reader, declared, limit int) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLarge
	}
	size := min(limit+1, minLease)
	if declared >= 0 {
		size = min(size, declared)
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) && len(body) != declared {
			grown, err := l.grow(body, declared, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, l.readError(err)
		case len(body) == declared:
			return body, nil
		}
	}
}

// grow returns a copy of a full buffer with more room, at most one byte beyond the limit.
func (l *Lease) grow(body []byte, declared, limit int) ([]byte, error) {
	size := min(max(2*cap(body), minLease), limit+1)
	if declared >= 0 {
		size = min(size, declared)
	}
	if err := l.memory.extend(l, size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// extend increases a lease to a number of bytes, if need be at the expense of the largest body
// that is being read.
func (m *Memory) extend(l *Lease, bytes int) error {
	m.mu.Lock()
	if l.aborted {
		m.mu.Unlock()
		return ErrNoMemory
	}
	m.reading[l] = true
	m.used += bytes - l.held
	l.held = bytes
	var victims []*Lease
	for m.used > m.limit && !l.aborted {
		victim := m.largest()
		victim.aborted = true
		m.drop(victim)
		victims = append(victims, victim)
	}
	aborted := l.aborted
	m.mu.Unlock()
	for _, victim := range victims {
		m.onAbort()
		victim.abort()
	}
	if aborted {
		return ErrNoMemory
	}
	return nil
}

// largest returns the largest lease that is being read. The caller holds mu and has such a lease.
func (m *Memory) largest() *Lease {
	var out *Lease
	for l := range m.reading {
		if out == nil || l.held > out.held {
			out = l
		}
	}
	return out
}

// readError returns the error of a failed read, ErrNoMemory if the lease was aborted meanwhile.
func (l *Lease) readError(err error) error {
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	if l.aborted {
		return ErrNoMemory
	}
	return err
}
