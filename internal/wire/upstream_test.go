package wire

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Guards against taking a malformed or implausible report for an upstream's load.
func TestDecodeLoad(t *testing.T) {
	for text, want := range map[string]*connpool.Load{
		"":                nil,
		"3,0,8":           {Running: 3, Slots: 8, Slowdown: 1},
		"4, 2, 4, 250":    {Running: 4, Waiting: 2, Slots: 4, Slowdown: 2.5},
		"3,0":             nil,
		"3,0,8,100,7":     nil,
		"-1,0,8":          nil,
		"3,0,0":           nil,
		"3,x,8":           nil,
		"3,0,8,":          nil,
		"3,0,8,0":         nil,
		"3,0,8,-5":        nil,
		"3,0,8,NaN":       nil,
		"3,0,8,1e9":       nil,
		"99999999999,0,8": nil,
	} {
		var resp fasthttp.Response
		resp.Header.Set("X-Load", text)
		got := UpstreamProtocol{Names: DefaultHeaderNames()}.DecodeLoad(&resp)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
}

// Guards against taking a cold upstream for a warm one because its response is malformed.
func TestDecodeHealth(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "1500": 1500 * time.Millisecond, "x": -1, "-1": -1, "1e12": -1, "NaN": -1} {
		var resp fasthttp.Response
		resp.Header.Set("X-Upstream", "u")
		if text != "" {
			resp.Header.Set("X-Cold-Ms", text)
		}
		h, err := UpstreamProtocol{Names: DefaultHeaderNames()}.DecodeHealth(&resp)
		if (err != nil) != (want < 0) || err == nil && (h.ColdFor != want || h.Upstream != "u") {
			t.Errorf("%q: %+v, %v", text, h, err)
		}
	}
}

// Guards against a refusal that names no request, such as the second copy of a rejected health
// check, being taken for the refusal of a request that the upstream runs.
func TestRefusalMustNameItsRequest(t *testing.T) {
	names := DefaultHeaderNames()
	for _, c := range []struct {
		status int
		id     string
		want   scatter.Result
	}{
		{fasthttp.StatusServiceUnavailable, "a", scatter.Refused},
		{fasthttp.StatusServiceUnavailable, "", scatter.Lost},
		{fasthttp.StatusServiceUnavailable, "b", scatter.Lost},
		{fasthttp.StatusMisdirectedRequest, "a", scatter.Refused},
		{fasthttp.StatusMisdirectedRequest, "", scatter.Lost},
	} {
		var resp fasthttp.Response
		resp.SetStatusCode(c.status)
		resp.Header.Set(names.NotRun, "1")
		if c.id != "" {
			resp.Header.Set(names.RequestID, c.id)
		}
		got, _, detail := UpstreamProtocol{Names: names}.Decode(&resp, &connpool.Message{ID: "a"})
		if got != c.want {
			t.Errorf("status %d for %q: %v %s, want %v", c.status, c.id, got, detail, c.want)
		}
	}
}
