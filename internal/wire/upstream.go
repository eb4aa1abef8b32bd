package wire

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Upstreams is how upstreams are spoken to; it implements direct.Protocol.
type Upstreams struct{ Names Names }

// Encode implements direct.Protocol.
func (up Upstreams) Encode(req *fasthttp.Request, m *direct.Message, u *catalog.Upstream, left time.Duration) {
	m.Header.CopyTo(&req.Header)
	req.Header.Set(up.Names.RequestID, m.ID)
	req.Header.Set(up.Names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	// An address may by now be another upstream's, of another service.
	req.Header.Set(up.Names.ExpectUpstream, u.ID)
	req.SetBodyRaw(m.Body)
}

// Decode implements direct.Protocol.
func (up Upstreams) Decode(resp *fasthttp.Response, m *direct.Message) (scatter.Result, string, string) {
	if id := resp.Header.Peek(up.Names.RequestID); len(id) > 0 && string(id) != m.ID {
		return scatter.Lost, "", "the answer is to another request"
	}
	status := resp.StatusCode()
	if len(resp.Header.Peek(up.Names.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		return scatter.Refused, "", "status " + strconv.Itoa(status)
	}
	stamp := string(resp.Header.Peek(up.Names.Proof))
	switch {
	case promisesNotRun(status):
		// It may have run: passed on as it is, the status would tell the caller
		// that it has not.
		return scatter.Lost, "", "status " + strconv.Itoa(status) + " does not say that it was not run"
	case stamp == "":
		return scatter.Lost, "", "status " + strconv.Itoa(status) + " without a signature"
	case status < 200 || status > 299:
		return scatter.Failed, "", "status " + strconv.Itoa(status)
	default:
		return scatter.Answered, stamp, ""
	}
}

const (
	// usualPace is the reported figure of work that takes as long as usual.
	usualPace = 100
	// mostLoad and mostPace are more than any upstream reports truly.
	mostLoad = 1 << 16
	mostPace = 100 * usualPace
	// loadCounts is how many counts a report begins with; the pace may follow.
	loadCounts = 3
)

// DecodeLoad implements direct.Protocol. A report with a figure that cannot be is no report.
func (up Upstreams) DecodeLoad(resp *fasthttp.Response) *direct.Load {
	text := string(resp.Header.Peek(up.Names.Load))
	if text == "" {
		return nil
	}
	fields := strings.Split(text, ",")
	if len(fields) != loadCounts && len(fields) != loadCounts+1 {
		return nil
	}
	var counts [loadCounts]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 || n > mostLoad {
			return nil
		}
		counts[i] = n
	}
	l := &direct.Load{Running: counts[0], Waiting: counts[1], Slots: counts[2], Pace: 1}
	if len(fields) > loadCounts {
		pace, err := strconv.ParseFloat(strings.TrimSpace(fields[loadCounts]), 64)
		if err != nil || !(pace > 0 && pace <= mostPace) {
			return nil
		}
		l.Pace = pace / usualPace
	}
	if l.Slots == 0 {
		return nil
	}
	return l
}

// DecodeHealth implements direct.Protocol. An upstream that does not say how long it is cold
// is warm; one that says it in no way that can be read is no upstream to trust.
func (up Upstreams) DecodeHealth(resp *fasthttp.Response) (direct.Health, error) {
	h := direct.Health{Upstream: string(resp.Header.Peek(up.Names.Upstream))}
	text := string(resp.Header.Peek(up.Names.Cold))
	if text == "" {
		return h, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= mostColdMS) {
		return direct.Health{}, trace.BadParameter("%s: must be from 0 to %d, is %q", up.Names.Cold, mostColdMS, text)
	}
	h.ColdFor = time.Duration(ms * float64(time.Millisecond))
	return h, nil
}

// mostColdMS is longer than an upstream is cold, which is seconds.
const mostColdMS = 3_600_000

// promisesNotRun tells whether a caller takes the status for a promise that its
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
