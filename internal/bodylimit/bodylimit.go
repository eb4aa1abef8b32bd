// Package bodylimit bounds the memory of HTTP bodies, those of responses and those of requests. A
// faulty sender may declare any length or send bytes without end, and many may do so at the same
// time, so that a limit for each body is not enough. The time of a body is bounded by the deadline
// of its connection.
//
// Lock order: Memory.mu is a leaf lock; abort functions are called without it.
package bodylimit

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Errors of ReadBody and Read.
var (
	// ErrTooLarge: the body exceeds the limit for one body.
	ErrTooLarge = errors.New("the response body is too large")
	// ErrNoMemory: all bodies together exceed the limit, and this one is the largest that is being
	// read.
	ErrNoMemory = errors.New("too many bytes of response bodies are held")
)

const (
	// minLease is the size in bytes from which a body counts. Smaller ones are bounded by the
	// number of requests in flight.
	minLease = 4 << 10
	// smallShare is the part of a limit up to which a body is small, and reservedShare the part
	// that is kept for small ones if small bodies have a reserve.
	smallShare, reservedShare = 64, 4
)

// Memory limits the bytes of all bodies that are being read or still in use. It is safe for
// concurrent use.
type Memory struct {
	limit   int
	onAbort func()
	// small is the size up to which a body is small, and large the limit on the bytes of all bodies
	// that are not.
	small, large int
	// similar is the factor up to which two bodies are about as large.
	similar int
	// reads orders the reads of all bodies.
	reads atomic.Uint64

	mu   sync.Mutex
	used int
	// usedLarge is the part of used that bodies which are not small hold.
	usedLarge int
	// reading holds the leases of bodies that are being read.
	reading map[*Lease]bool
}

// NewMemory returns a limit in bytes. onAbort is called for each body that is given up for it.
func NewMemory(limit int, onAbort func()) *Memory {
	return &Memory{limit: limit, onAbort: onAbort, large: limit, similar: 1, reading: map[*Lease]bool{}}
}

// ForClients adapts the limit to bodies of requests. A part of it is kept for small bodies, so that a
// few large ones which stay in use for long do not end all others. And of bodies that are about as
// large the one goes that has waited for its next bytes for longest, so that clients which go on
// sending are served beside others which do not. It must be called before the first body is read.
func (m *Memory) ForClients() {
	m.small = m.limit / smallShare
	m.large = m.limit - m.limit/reservedShare
	m.similar = 2
}

// MaxBody returns the size in bytes of the largest body that fits while no other is held.
func (m *Memory) MaxBody() int { return m.large }

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
	// lastRead is the place of the body's last read in the order of all reads.
	lastRead atomic.Uint64
	// enlarge is Source.Enlarge until it has been called.
	enlarge func() int
	// receiveBuffer is what the kernel may hold of the body, counted in held. Memory.mu guards it.
	receiveBuffer int
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
	m.hold(l, 0)
	delete(m.reading, l)
}

// hold sets the bytes that a lease holds. The caller holds mu.
func (m *Memory) hold(l *Lease, bytes int) {
	m.used += bytes - l.held
	if l.held > m.small {
		m.usedLarge -= l.held
	}
	if bytes > m.small {
		m.usedLarge += bytes
	}
	l.held = bytes
}

// Source is a body that arrives.
type Source struct {
	Stream io.Reader
	// Declared is the declared length in bytes, negative for none.
	Declared int
	// Limit is the most bytes that the body may have.
	Limit int
	// Abort makes reads of the stream fail. It is called if the body is given up for others.
	Abort func()
	// Enlarge is called once, when LargeBody bytes have come and the body may have more, and returns
	// how many bytes the kernel may hold of it from then on; nil if that does not change.
	Enlarge func() int
}

// LargeBody is the size in bytes from which Source.Enlarge is called.
const LargeBody = 64 << 10

// bufferSize returns the bytes that a lease holds without those in the kernel. The caller holds mu.
func (l *Lease) bufferSize() int { return l.held - l.receiveBuffer }

// Read reads a body and returns it with the memory that it takes. When memory runs out, the largest
// body that is being read is given up.
func (m *Memory) Read(s Source) ([]byte, *Lease, error) {
	lease := &Lease{memory: m, abort: s.Abort, enlarge: s.Enlarge}
	body, err := lease.read(s.Stream, s.Declared, s.Limit)
	if err != nil {
		lease.Release()
		return nil, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if lease.aborted {
		return nil, nil, ErrNoMemory
	}
	delete(m.reading, lease)
	m.hold(lease, lease.bufferSize())
	lease.receiveBuffer = 0
	return body, lease, nil
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

// Stream sends a request with a client and passes the body of the response to read, which reads it to
// its end. What read keeps is its own concern. The timeout includes the body. After an error the
// connection is closed.
func Stream(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration, read func(io.Reader) error) error {
	resp.StreamBody = true
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return trace.Wrap(err)
	}
	stream := resp.BodyStream()
	if stream == nil {
		return read(bytes.NewReader(resp.Body()))
	}
	if err := read(&declaredBody{stream: stream, left: resp.Header.ContentLength()}); err != nil {
		if s, ok := stream.(fasthttp.ReadCloserWithError); ok {
			// The stream's Close returns no error.
			_ = s.CloseWithError(err)
		}
		return err
	}
	return trace.Wrap(resp.CloseBodyStream())
}

// declaredBody reads a body of a declared length, negative for none. An earlier end is an error.
type declaredBody struct {
	stream io.Reader
	left   int
}

// Read implements io.Reader.
func (b *declaredBody) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	b.left -= n
	if errors.Is(err, io.EOF) && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
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
		l.lastRead.Store(l.memory.reads.Add(1))
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && len(body) < declared:
			// Streams of requests end like this when the client leaves.
			return nil, l.readError(io.ErrUnexpectedEOF)
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
	if len(body) >= LargeBody && limit > LargeBody && l.enlarge != nil {
		l.memory.addReceiveBuffer(l, l.enlarge())
		l.enlarge = nil
	}
	if err := l.memory.extend(l, size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// addReceiveBuffer adds what the kernel may hold of a body to its lease, with its next extension.
func (m *Memory) addReceiveBuffer(l *Lease, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.receiveBuffer = bytes
}

// extend increases the buffer of a lease to a number of bytes, if need be at the expense of the
// largest body that is being read.
func (m *Memory) extend(l *Lease, bytes int) error {
	m.mu.Lock()
	if l.aborted {
		m.mu.Unlock()
		return ErrNoMemory
	}
	m.reading[l] = true
	m.hold(l, bytes+l.receiveBuffer)
	var victims []*Lease
	for (m.used > m.limit || m.usedLarge > m.large) && !l.aborted {
		victim := m.victim()
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

// victim returns the lease to be aborted: of the largest that are being read the one whose last read
// is the longest ago. The caller holds mu and has such a lease.
func (m *Memory) victim() *Lease {
	largest := 0
	for l := range m.reading {
		largest = max(largest, l.bufferSize())
	}
	var out *Lease
	for l := range m.reading {
		if l.bufferSize()*m.similar >= largest && (out == nil || l.lastRead.Load() < out.lastRead.Load()) {
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
