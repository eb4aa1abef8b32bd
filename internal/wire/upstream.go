package wire

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// UpstreamProtocol implements connpool.Protocol over HTTP.
type UpstreamProtocol struct{ Names HeaderNames }

// Encode implements connpool.Protocol.
func (up UpstreamProtocol) Encode(req *fasthttp.Request, m *connpool.Message, u *catalog.Upstream, left time.Duration) {
	m.Header.CopyTo(&req.Header)
	req.Header.Set(up.Names.RequestID, m.ID)
	req.Header.Set(up.Names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	// The address may have been reassigned to another upstream, even of another service.
	req.Header.Set(up.Names.ExpectUpstream, u.ID)
	req.SetBodyRaw(m.Body)
}

// Decode implements connpool.Protocol.
func (up UpstreamProtocol) Decode(resp *fasthttp.Response, m *connpool.Message) (scatter.Result, string, string) {
	id := up.ResponseID(resp)
	if id != "" && id != m.ID {
		return scatter.Lost, "", "the answer is to another request"
	}
	status := resp.StatusCode()
	if len(resp.Header.Peek(up.Names.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		if id == "" {
			// It may be the second copy of an earlier response, while the upstream runs the request.
			return scatter.Lost, "", "status " + strconv.Itoa(status) + " does not name the request that it refuses"
		}
		return scatter.Refused, "", "status " + strconv.Itoa(status)
	}
	proof := string(resp.Header.Peek(up.Names.Proof))
	switch {
	case impliesNotRun(status):
		// The request may have run, but a caller that received this status would conclude
		// that it has not.
		return scatter.Lost, "", "status " + strconv.Itoa(status) + " does not say that it was not run"
	case proof == "":
		return scatter.Lost, "", "status " + strconv.Itoa(status) + " without a signature"
	case status < 200 || status > 299:
		return scatter.Failed, "", "status " + strconv.Itoa(status)
	default:
		return scatter.Answered, proof, ""
	}
}

// ResponseID implements connpool.Protocol.
func (up UpstreamProtocol) ResponseID(resp *fasthttp.Response) string {
	return string(resp.Header.Peek(up.Names.RequestID))
}

const (
	// paceUnit is the reported pace of work that takes its usual time.
	paceUnit = 100
	// maxLoad and maxPace exceed any plausible report; larger values are invalid.
	maxLoad = 1 << 16
	maxPace = 100 * paceUnit
	// loadCounts is the number of counts at the start of a report; a pace may follow.
	loadCounts = 3
)

// DecodeLoad implements connpool.Protocol. A report with any value out of range is ignored.
func (up UpstreamProtocol) DecodeLoad(resp *fasthttp.Response) *connpool.Load {
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
		if err != nil || n < 0 || n > maxLoad {
			return nil
		}
		counts[i] = n
	}
	l := &connpool.Load{Running: counts[0], Waiting: counts[1], Slots: counts[2], Slowdown: 1}
	if len(fields) > loadCounts {
		pace, err := strconv.ParseFloat(strings.TrimSpace(fields[loadCounts]), 64)
		if err != nil || !(pace > 0 && pace <= maxPace) {
			return nil
		}
		l.Slowdown = pace / paceUnit
	}
	if l.Slots == 0 {
		return nil
	}
	return l
}

// DecodeHealth implements connpool.Protocol. An upstream that sends no Cold header is warm. An
// invalid value is an error, because such an upstream cannot be trusted.
func (up UpstreamProtocol) DecodeHealth(resp *fasthttp.Response) (connpool.Health, error) {
	h := connpool.Health{Upstream: string(resp.Header.Peek(up.Names.Upstream))}
	text := string(resp.Header.Peek(up.Names.Cold))
	if text == "" {
		return h, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= maxColdMS) {
		return connpool.Health{}, trace.BadParameter("%s: must be from 0 to %d, is %q", up.Names.Cold, maxColdMS, text)
	}
	h.ColdFor = time.Duration(ms * float64(time.Millisecond))
	return h, nil
}

// maxColdMS limits the reported time, in milliseconds, until an upstream is warm; real ones
// take seconds.
const maxColdMS = 3_600_000

// impliesNotRun reports whether callers take the status as a guarantee that their request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
