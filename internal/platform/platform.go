// Package platform is a client of the platform's configuration service. The
// service can only be read and watched, and each call counts against its limit,
// including a watch that waits. The package checks the form of answers but not
// the contents of documents.
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
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
)

const (
	// maxResponseBytes limits the size of a page including its JSON overhead.
	maxResponseBytes = 4 * config.MaxPageBytes
	// responseTimeout is how long a response may take beyond the requested wait.
	responseTimeout = 5 * time.Second
	dialTimeout     = time.Second
)

// ChangesPath is the URL path at which changes are read and watched.
const ChangesPath = "/v1/changes"

// Changes is the JSON answer of ChangesPath.
type Changes struct {
	// Revision is the highest revision the answer covers.
	Revision uint64 `json:"revision"`
	// Documents holds the changes above the requested revision in ascending order
	// of revision.
	Documents []Document `json:"documents"`
	// More reports that there are changes above Revision that the answer omits.
	More bool `json:"more"`
}

// Document is one document in a Changes answer. Body is base64 in JSON.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body"`
	Deleted  bool   `json:"deleted"`
}

// Error describes a failed read.
type Error struct {
	Reason config.FailureReason
	Detail string
}

// Error returns the reason and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s: %s", e.Reason, e.Detail)
}

// ReasonOf returns the reason of a failed read. It is config.Unreachable if err
// does not wrap an *Error.
func ReasonOf(err error) config.FailureReason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return config.Unreachable
}

func newError(reason config.FailureReason, format string, args ...any) error {
	return trace.Wrap(&Error{Reason: reason, Detail: fmt.Sprintf(format, args...)})
}

// Client reads one configuration service.
type Client struct {
	http *fasthttp.HostClient

	mu sync.Mutex
	// conns holds the open connections; nil after Close.
	conns  map[net.Conn]struct{}
	closed bool
}

// NewClient returns a client of the service at address (IP and port).
func NewClient(address string) *Client {
	c := &Client{conns: map[net.Conn]struct{}{}}
	c.http = &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  2,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		Dial:                      c.dial,
	}
	return c
}

// Close closes all connections. This ends a watch that waits, so that a planned
// stop need not wait for it. Later calls fail.
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
	return responsecheck.NewConn(&trackedConn{Conn: conn, client: c}), nil
}

// trackedConn removes itself from the client's connections when it is closed.
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

// Changes reads a page of changes above a revision. If there are none, the service
// waits up to wait for one; with a wait of 0 it answers at once. The error wraps
// an *Error.
func (c *Client) Changes(after uint64, wait time.Duration) (config.Page, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.http.Addr + ChangesPath)
	args := req.URI().QueryArgs()
	args.Set("after", strconv.FormatUint(after, 10))
	args.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if err := c.http.DoTimeout(req, resp, wait+responseTimeout); err != nil {
		return config.Page{}, newError(transportReason(err), "%v", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return config.Page{}, newError(config.Refused, "status %d", resp.StatusCode())
	}
	return Decode(after, resp.Body())
}

func transportReason(err error) config.FailureReason {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return config.Malformed
	}
	return config.Unreachable
}

// Decode decodes an answer with the changes above a revision. It rejects the whole
// answer if any part is invalid, because then its revision cannot be trusted
// either: a revision that is too high would hide a change for ever.
func Decode(after uint64, body []byte) (config.Page, error) {
	var reply Changes
	if err := json.Unmarshal(body, &reply); err != nil {
		return config.Page{}, newError(config.Malformed, "%v", err)
	}
	page := config.Page{After: after, Revision: reply.Revision, More: reply.More}
	last := after
	for i, d := range reply.Documents {
		if err := checkDocument(&d, last, reply.Revision); err != nil {
			return config.Page{}, newError(config.Malformed, "documents[%d] %v", i, err)
		}
		last = d.Revision
		page.Documents = append(page.Documents, &pb.PublishedDocument{
			Name: d.Name, Revision: d.Revision, Body: d.Body, Deleted: d.Deleted,
		})
	}
	if page.More && last != page.Revision {
		return config.Page{}, newError(config.Malformed, "a page with more to come must end at its revision %d, not %d", page.Revision, last)
	}
	return page, nil
}

// checkDocument checks a document of a page with the given revision; last is the
// revision of the document before it.
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
