// Package platform reads the configuration service. It can only be read and
// watched; each call, a waiting watch too, counts against the service's limit.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/config"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// maxReply bounds a page with its JSON overhead.
const maxReply = 4 * config.MaxPageBytes

// ChangesPath is where changes are read and watched.
const ChangesPath = "/v1/changes"

// Changes is the JSON answer of ChangesPath.
type Changes struct {
	Revision  uint64     `json:"revision"`
	Documents []Document `json:"documents"`
	More      bool       `json:"more"`
}

// Document is one value in a Changes answer; Body is base64 in JSON.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body"`
	Deleted  bool   `json:"deleted"`
}

// Client reads one configuration service.
type Client struct {
	http *fasthttp.HostClient
}

// NewClient reads the service at address (IP and port).
func NewClient(address string) *Client {
	return &Client{http: &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      2,
		MaxResponseBodySize:           maxReply,
		MaxIdemponentCallAttempts:     1,
		DisableHeaderNamesNormalizing: false,
		Dial:                          dial,
	}}
}

func dial(address string) (net.Conn, error) {
	return fasthttp.DialTimeout(address, time.Second)
}

// Changes reads the page of changes above a revision, waiting up to wait for
// the first one. A wait of 0 answers at once.
func (c *Client) Changes(after uint64, wait time.Duration) (config.Page, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.http.Addr + ChangesPath)
	args := req.URI().QueryArgs()
	args.Set("after", strconv.FormatUint(after, 10))
	args.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if err := c.http.DoTimeout(req, resp, wait+5*time.Second); err != nil {
		return config.Page{}, trace.ConnectionProblem(err, "platform is not reachable")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return config.Page{}, trace.ConnectionProblem(nil, "platform answered with status %d", resp.StatusCode())
	}
	return decode(resp.Body())
}

func decode(body []byte) (config.Page, error) {
	var reply Changes
	if err := json.Unmarshal(body, &reply); err != nil {
		return config.Page{}, trace.BadParameter("platform reply: %v", err)
	}
	page := config.Page{Revision: reply.Revision, More: reply.More}
	for i, d := range reply.Documents {
		if d.Name == "" || d.Revision == 0 || d.Revision > reply.Revision {
			return config.Page{}, trace.BadParameter("platform reply: %s", fmt.Sprintf("documents[%d] has no name or a revision out of range", i))
		}
		page.Documents = append(page.Documents, &pb.PublishedDocument{
			Name: d.Name, Revision: d.Revision, Body: d.Body, Deleted: d.Deleted,
		})
	}
	return page, nil
}
