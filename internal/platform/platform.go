// Package platform reads the configuration service. It can only be read and
// watched; each call, a waiting watch too, counts against the service's limit.
// It decides nothing about what it reads.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/config"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// maxReply bounds a page with its JSON overhead.
	maxReply = 4 * config.MaxPageBytes
	// answerTime is how long an answer may take beyond the wait asked for.
	answerTime  = 5 * time.Second
	dialTimeout = time.Second
)

// ChangesPath is where changes are read and watched.
const ChangesPath = "/v1/changes"

// Changes is the JSON answer of ChangesPath.
type Changes struct {
	// Revision is the highest revision the answer covers.
	Revision uint64 `json:"revision"`
	// Documents is every change above the revision asked about, lowest first.
	Documents []Document `json:"documents"`
	// More says that changes above Revision are left out.
	More bool `json:"more"`
}

// Document is one value in a Changes answer; Body is base64 in JSON.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body"`
	Deleted  bool   `json:"deleted"`
}

// Error is a read that brought nothing.
type Error struct {
	Reason config.FailureReason
	Detail string
}

// Error gives the reason and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s: %s", e.Reason, e.Detail)
}

// ReasonOf is the reason of a failed read.
func ReasonOf(err error) config.FailureReason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return config.Unreachable
}

func failed(reason config.FailureReason, format string, args ...any) error {
	return trace.Wrap(&Error{Reason: reason, Detail: fmt.Sprintf(format, args...)})
}

// Client reads one configuration service.
type Client struct {
	http *fasthttp.HostClient

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewClient reads the service at address (IP and port).
func NewClient(address string) *Client {
	c := &Client{conns: map[net.Conn]struct{}{}}
	c.http = &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  2,
		MaxResponseBodySize:       maxReply,
		MaxIdemponentCallAttempts: 1,
		Dial:                      c.dial,
	}
	return c
}

// Close breaks off a watch that waits: a planned stop must not wait for it.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	open := c.conns
	c.conns = nil
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close()
	}
}

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, client: c}, nil
}

// trackedConn leaves the client's set when it is closed.
type trackedConn struct {
	net.Conn
	client *Client
}

func (t *trackedConn) Close() error {
	t.client.mu.Lock()
	delete(t.client.conns, t.Conn)
	t.client.mu.Unlock()
	return t.Conn.Close()
}

// Changes reads the page of changes above a revision, waiting up to wait for
// the first one. A wait of 0 answers at once. The error is an *Error.
func (c *Client) Changes(after uint64, wait time.Duration) (config.Page, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.http.Addr + ChangesPath)
	args := req.URI().QueryArgs()
	args.Set("after", strconv.FormatUint(after, 10))
	args.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if err := c.http.DoTimeout(req, resp, wait+answerTime); err != nil {
		return config.Page{}, failed(transportReason(err), "%v", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return config.Page{}, failed(config.Refused, "status %d", resp.StatusCode())
	}
	return Decode(after, resp.Body())
}

func transportReason(err error) config.FailureReason {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return config.Malformed
	}
	return config.Unreachable
}

// Decode reads an answer about the changes above a revision. It takes an answer
// as a whole or not at all: of a page that breaks a rule nothing can be trusted,
// the revision least, and a watermark too high would hide a change for ever.
func Decode(after uint64, body []byte) (config.Page, error) {
	var reply Changes
	if err := json.Unmarshal(body, &reply); err != nil {
		return config.Page{}, failed(config.Malformed, "%v", err)
	}
	page := config.Page{After: after, Revision: reply.Revision, More: reply.More}
	last := after
	for i, d := range reply.Documents {
		if err := checkDocument(&d, last, reply.Revision); err != nil {
			return config.Page{}, failed(config.Malformed, "documents[%d] %v", i, err)
		}
		last = d.Revision
		page.Documents = append(page.Documents, &pb.PublishedDocument{
			Name: d.Name, Revision: d.Revision, Body: d.Body, Deleted: d.Deleted,
		})
	}
	if page.More && last != page.Revision {
		return config.Page{}, failed(config.Malformed, "a page with more to come must end at its revision %d, not %d", page.Revision, last)
	}
	return page, nil
}

func checkDocument(d *Document, last, revision uint64) error {
	switch {
	case d.Name == "":
		return errors.New("has no name")
	case d.Revision == 0 || d.Revision < last:
		return fmt.Errorf("has revision %d below %d", d.Revision, last)
	case d.Revision > revision:
		return fmt.Errorf("has revision %d above the page's %d", d.Revision, revision)
	}
	return nil
}
