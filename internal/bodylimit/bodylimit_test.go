package bodylimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
)

// response starts to read a response and returns it with its body unread.
func response(t *testing.T, from io.Reader) *fasthttp.Response {
	t.Helper()
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.ReadLimitBody(bufio.NewReader(from), 0); err != nil {
		t.Fatal(err)
	}
	return resp
}

// endless repeats its text for ever.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[e.at%len(e.text)]
		e.at++
	}
	return len(p), nil
}

// Bodies within the limits arrive whole, however they are framed, and hold their memory until it is
// released.
func TestBodiesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, minLease - 1, minLease, minLease + 1, 100_000} {
		body := strings.Repeat("x", size)
		for _, framed := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunk(body)),
			"\r\n" + body,
		} {
			m := NewMemory(1<<20, func() { t.Error("a body was aborted") })
			resp := response(t, strings.NewReader("HTTP/1.1 200 OK\r\n"+framed))
			lease, err := m.ReadBody(resp, 100_000, func() { t.Error("the connection is ended") })
			if err != nil || string(resp.Body()) != body {
				t.Fatalf("%d bytes as %.20q: %v, got %d", size, framed, err, len(resp.Body()))
			}
			if held := m.Used(); held < size && size > minLease || held > 2*size+1 {
				t.Errorf("%d bytes hold %d", size, held)
			}
			lease.Release()
			lease.Release()
			if m.Used() != 0 {
				t.Errorf("%d bytes are still held", m.Used())
			}
		}
	}
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// Guards against memory taken for bytes that never arrive: the buffer had the declared size.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	for _, framing := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"} {
		m := NewMemory(1<<20, func() {})
		most := 0
		from := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+framing+"x"), readFunc(func() { most = m.Used() }))
		lease, err := m.ReadBody(response(t, from), 1<<20, func() {})
		if err == nil || lease != nil || most > 2*minLease || m.Used() != 0 {
			t.Errorf("%q: %v, %d bytes held for one that arrived, %d after the error", framing, err, most, m.Used())
		}
	}
}

// readFunc calls itself and then ends.
type readFunc func()

func (f readFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// Guards against bodies without end, in each framing.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|400\r\n" + strings.Repeat("x", 1024) + "\r\n",
		"chunks of 1":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|1\r\nx\r\n",
		"chunk extension": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;|x",
		"trailers":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|a: b\r\n",
		"no framing":      "HTTP/1.1 200 OK\r\n\r\n|x",
		"declared length": "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n|x",
	} {
		m := NewMemory(1<<20, func() {})
		head, rest, _ := strings.Cut(text, "|")
		ended := false
		_, err := m.ReadBody(response(t, io.MultiReader(strings.NewReader(head), &endless{text: rest})), 100_000, func() { ended = true })
		if err == nil || !ended || m.Used() != 0 {
			t.Errorf("%s: %v, connection ended: %v, %d bytes held", name, err, ended, m.Used())
		}
	}
}

// Guards against many endless bodies that together take more memory than the process has, and
// against a small body that is given up for them.
func TestLargestBodyIsGivenUpWhenMemoryRunsOut(t *testing.T) {
	const limit, endlessBodies = 256 << 10, 8
	var aborts atomic.Int64
	m := NewMemory(limit, func() { aborts.Add(1) })
	type result struct {
		err  error
		size int
	}
	readers, results := []*stepReader{}, make(chan result, endlessBodies)
	for range endlessBodies {
		r := &stepReader{bytes: make(chan int), ended: make(chan struct{})}
		readers = append(readers, r)
		resp := response(t, io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), r))
		go func() {
			_, err := m.ReadBody(resp, limit, r.end)
			results <- result{err, len(resp.Body())}
		}()
	}
	small := &stepReader{bytes: make(chan int), ended: make(chan struct{})}
	resp := response(t, io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), small))
	done := make(chan error, 1)
	go func() {
		_, err := m.ReadBody(resp, limit, small.end)
		done <- err
	}()
	small.give(2 * minLease)
	left := endlessBodies
	for i := 0; left > 0; i++ {
		readers[i%endlessBodies].give(1000)
		if used := m.Used(); used > limit {
			t.Fatalf("%d bytes are held, the limit is %d", used, limit)
		}
		for drained := false; !drained; {
			select {
			case r := <-results:
				left--
				if !errors.Is(r.err, ErrNoMemory) && !errors.Is(r.err, ErrTooLarge) {
					t.Errorf("%v", r.err)
				}
			default:
				drained = true
			}
		}
	}
	close(small.bytes)
	if err := <-done; err != nil || len(resp.Body()) != 2*minLease {
		t.Errorf("the small body: %v, %d bytes", err, len(resp.Body()))
	}
	if aborts.Load() == 0 {
		t.Error("no body was given up for lack of memory")
	}
}

// stepReader delivers as many bytes as it is given, and an error once it has been ended.
type stepReader struct {
	bytes chan int
	ended chan struct{}
	once  sync.Once
	left  int
}

func (r *stepReader) end() { r.once.Do(func() { close(r.ended) }) }

// give delivers bytes unless the reader has been ended.
func (r *stepReader) give(n int) {
	select {
	case r.bytes <- n:
	case <-r.ended:
	}
}

func (r *stepReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		select {
		case n, ok := <-r.bytes:
			if !ok {
				return 0, io.EOF
			}
			r.left = n
		case <-r.ended:
			return 0, errors.New("ended")
		}
	}
	n := min(r.left, len(p))
	r.left -= n
	return n, nil
}

// blocked is a body whose first bytes have arrived, and whose reads fail once it is aborted.
type blocked struct {
	first    *strings.Reader
	read     chan struct{}
	aborted  chan struct{}
	signaled bool
}

func newBlocked(size int) *blocked {
	return &blocked{first: strings.NewReader(strings.Repeat("x", size)), read: make(chan struct{}), aborted: make(chan struct{})}
}

func (b *blocked) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	if !b.signaled {
		b.signaled = true
		close(b.read)
	}
	<-b.aborted
	return 0, errors.New("aborted")
}

// start reads a body of a declared length in the background, until its first bytes have been read.
func (b *blocked) start(m *Memory, declared int) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, _, err := m.Read(Source{Stream: b, Declared: declared, Limit: declared, Abort: func() { close(b.aborted) }})
		done <- err
	}()
	<-b.read
	return done
}

// Guards against a client that goes on sending and is given up for others that have stopped and
// declared a little less, and against small bodies that find no room beside large ones in use.
func TestBodiesOfClients(t *testing.T) {
	m := NewMemory(1<<20, func() {})
	m.ForClients()
	const size = 300 << 10
	stalled, other := newBlocked(size-1), newBlocked(size-1)
	first, second := stalled.start(m, size), other.start(m, size)
	if body, lease, err := m.Read(Source{Stream: strings.NewReader(strings.Repeat("y", size+1)), Declared: size + 1, Limit: 1 << 20, Abort: func() { t.Error("the client that sends is aborted") }}); err != nil || len(body) != size+1 {
		t.Errorf("%d bytes, %v", len(body), err)
	} else {
		defer lease.Release()
	}
	if err := <-first; !errors.Is(err, ErrNoMemory) {
		t.Errorf("the body that has waited longest: %v", err)
	}
	if _, _, err := m.Read(Source{Stream: strings.NewReader(strings.Repeat("y", 8<<10)), Declared: 8 << 10, Limit: 1 << 20}); err != nil {
		t.Errorf("a small body: %v", err)
	}
	close(other.aborted)
	if err := <-second; err == nil {
		t.Error("a body that broke off has no error")
	}
}

// Guards against what the kernel holds of large bodies beside the limit.
func TestReceiveBufferOfLargeBodiesCounts(t *testing.T) {
	const size, kernel = 200 << 10, 100 << 10
	m := NewMemory(1<<20, func() {})
	most, enlarged := 0, 0
	stream := io.MultiReader(strings.NewReader(strings.Repeat("x", size-1)), readFunc(func() { most = m.Used() }), strings.NewReader("x"))
	body, lease, err := m.Read(Source{Stream: stream, Declared: size, Limit: size, Enlarge: func() int { enlarged++; return kernel }})
	if err != nil || len(body) != size || enlarged != 1 || most < size+kernel-1 || m.Used() > size {
		t.Errorf("%d bytes, %v, enlarged %d times, %d bytes held while it arrives and %d afterwards", len(body), err, enlarged, most, m.Used())
	}
	lease.Release()
	if m.Used() != 0 {
		t.Errorf("%d bytes are still held", m.Used())
	}
}
