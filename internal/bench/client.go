package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Outcomes of a request besides the reasons of refusals.
const (
	answered = "answered"
	// unreachable: no address let the caller in; nothing was sent.
	unreachable = "unreachable"
	// cutOff: the request went out and the connection broke.
	cutOff = "cut_off"
)

const (
	callPatience = 15 * time.Second
	dialPatience = time.Second
	// callAttempts is how many addresses a caller tries for one request.
	callAttempts = 3
)

// result is how one request ended for its caller.
type result struct {
	outcome string
	ran     refusal.Ran
	answer  *frontend.Answer
	address string
}

// client is one caller: it asks for endpoints, keeps them for their time to
// live, prefers one of them, and goes to the next when it can't connect.
//
// Lock order: client.mu is a leaf; it is not held across I/O.
type client struct {
	customer string
	index    int
	// contacts are the addresses it was installed with.
	contacts []string
	// fixed sends everything to the preferred home VM: a skewed caller.
	http *fasthttp.Client

	mu      sync.Mutex
	known   []string
	until   time.Time
	prefix  string
	counter uint64
}

func newClient(customer string, index int, contacts []string) *client {
	return &client{customer: customer, index: index, contacts: contacts, http: &fasthttp.Client{
		MaxConnsPerHost:           512,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      dialCaller,
	}}
}

// notConnected marks a failure before anything was sent.
type notConnected struct{ error }

func dialCaller(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialPatience)
	if err != nil {
		return nil, &notConnected{err}
	}
	return conn, nil
}

// addresses are the endpoints, the preferred one first.
func (c *client) addresses() []string {
	c.mu.Lock()
	known, fresh := c.known, time.Now().Before(c.until)
	c.mu.Unlock()
	if !fresh {
		known = c.refresh(known)
	}
	if len(known) == 0 {
		return nil
	}
	first := c.index % len(known)
	return append(append([]string(nil), known[first:]...), known[:first]...)
}

// refresh asks the VMs it knows, then its contacts, for endpoints.
func (c *client) refresh(known []string) []string {
	for _, address := range append(append([]string(nil), known...), c.contacts...) {
		e, err := c.endpoints(address)
		if err != nil {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.known = c.known[:0:0]
		for _, p := range e.Endpoints {
			c.known = append(c.known, p.Address)
		}
		c.until = time.Now().Add(time.Duration(e.TTLMS) * time.Millisecond)
		if l := e.OperationLease; l != nil && l.Prefix != c.prefix {
			c.prefix, c.counter = l.Prefix, 0
		}
		return c.known
	}
	return known
}

func (c *client) endpoints(address string) (*callerapi.Endpoints, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + callerapi.EndpointsPath)
	c.sign(req)
	if err := c.http.DoTimeout(req, resp, callPatience); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.New("endpoints: status " + strconv.Itoa(resp.StatusCode()))
	}
	e := &callerapi.Endpoints{}
	return e, json.Unmarshal(resp.Body(), e)
}

func (c *client) sign(req *fasthttp.Request) {
	req.Header.Set("Authorization", "Bearer "+token(c.customer))
}

// operation names a new non-idempotent request.
func (c *client) operation() string {
	c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prefix == "" {
		return ""
	}
	c.counter++
	return c.prefix + "." + strconv.FormatUint(c.counter, 10)
}

// call sends a request; a non-idempotent one carries an operation. An address
// that can't be reached, or that says the request did not run there and sends
// the caller elsewhere, is followed by the next one.
func (c *client) call(kind, key, operation string) result {
	last := result{outcome: unreachable, ran: refusal.NotRun}
	for i, address := range c.addresses() {
		if i == callAttempts {
			break
		}
		r, err := c.send(address, kind, key, operation)
		var nc *notConnected
		if errors.As(err, &nc) {
			c.expire()
			continue
		}
		if err != nil {
			return result{outcome: cutOff, ran: refusal.Unknown, address: address}
		}
		last = r
		if r.ran != refusal.NotRun || !elsewhere(r.outcome) {
			return r
		}
		c.expire()
	}
	return last
}

func elsewhere(outcome string) bool {
	switch refusal.Reason(outcome) {
	case refusal.Stopping, refusal.NotReady, refusal.WrongVM:
		return true
	}
	return false
}

// expire makes the next request ask for endpoints again.
func (c *client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func (c *client) send(address, kind, key, operation string) (result, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + callerapi.QueryPath + kind)
	c.sign(req)
	if operation != "" {
		req.Header.Set(callerapi.HeaderOperation, operation)
	}
	req.SetBodyString(fmt.Sprintf(`{"query":"lease","key":%q}`, key))
	if err := c.http.DoTimeout(req, resp, callPatience); err != nil {
		return result{}, err
	}
	return read(resp, address)
}

func read(resp *fasthttp.Response, address string) (result, error) {
	if resp.StatusCode() == fasthttp.StatusOK {
		a := &frontend.Answer{}
		err := json.Unmarshal(resp.Body(), a)
		return result{outcome: answered, ran: refusal.DidRun, answer: a, address: address}, err
	}
	var body callerapi.ErrorBody
	if err := json.Unmarshal(resp.Body(), &body); err != nil || body.Error.Reason == "" {
		return result{outcome: "untyped_" + strconv.Itoa(resp.StatusCode()), ran: refusal.Unknown, address: address}, nil
	}
	return result{outcome: string(body.Error.Reason), ran: body.Error.Ran, address: address}, nil
}

// token is the bearer token of a customer.
func token(customer string) string { return strings.ToLower(customer) + "-token" }
