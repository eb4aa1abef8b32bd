package main

import (
	"encoding/json"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
)

const (
	clientTimeout = 30 * time.Second
	// maxAnswer limits one answer in bytes: a faulty daemon may send bytes without end.
	maxAnswer = 16 << 20
)

// call is one HTTP request to a daemon.
type call struct {
	method  string
	url     string
	token   string
	body    []byte
	headers map[string]string
}

// do sends the call once and decodes the answer into v. An answer with an error
// status is returned as an error that shows its body.
func (c call) do(v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.method)
	req.SetRequestURI(c.url)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	for k, value := range c.headers {
		req.Header.Set(k, value)
	}
	req.SetBody(c.body)
	// One attempt: a request that the library sent again could run twice.
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswer,
		Dial:                      dialChecked,
	}
	if err := client.DoTimeout(req, resp, clientTimeout); err != nil {
		return trace.ConnectionProblem(err, "no answer from %s: %v", c.url, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return trace.BadParameter("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return trace.Wrap(json.Unmarshal(resp.Body(), v))
}

// dialChecked opens a connection whose responses are checked.
func dialChecked(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return responsecheck.NewConn(conn), nil
}
