package standalone

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/node"
	"sycamorekeel.example/sycamorekeel/internal/standin"
	"sycamorekeel.example/sycamorekeel/internal/topk"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const example = "../../docs/examples/edge/"

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExamplesAreValid(t *testing.T) {
	if _, findings := ParseSettings("edge-1.toml", []byte(read(t, example+"edge-1.toml"))); len(findings) > 0 {
		t.Error(findings)
	}
	if _, findings := ParseDeployment("deployment.toml", []byte(read(t, example+"deployment.toml"))); len(findings) > 0 {
		t.Error(findings)
	}
}

// Each invalid field is reported with its path.
func TestInvalidFieldsAreReported(t *testing.T) {
	set, deployment := read(t, example+"edge-1.toml"), read(t, example+"deployment.toml")
	for _, c := range []struct{ old, new, want string }{
		{`vm = "edge-1"`, "", "vm: must be given"},
		{`caller_address = "127.0.0.1:9001"`, `caller_address = "here"`, "caller_address"},
		{"millicores", "milicores", "milicores"},
	} {
		_, findings := ParseSettings("f", []byte(strings.Replace(set, c.old, c.new, 1)))
		if len(findings) != 1 || !strings.Contains(findings.String(), c.want) {
			t.Errorf("%s: %v", c.want, findings)
		}
	}
	for _, c := range []struct{ old, new, want string }{
		{"version = 1", "version = 0", "version: must be above 0"},
		{`prefix = "/q/"`, `prefix = "q"`, "routes[0].prefix"},
		{`shards = ["shard-0", "shard-1"]`, "", "routes[0]: must have either"},
		{"weight = 1", "weight = 0", "routes[1].targets"},
		{`id = "shard-1-a"`, `id = "shard-0-a"`, "upstreams[1].id: is given twice"},
		{"min_coverage_percent = 50", "min_coverage_percent = 500", "min_coverage_percent"},
	} {
		_, findings := ParseDeployment("f", []byte(strings.Replace(deployment, c.old, c.new, 1)))
		if len(findings) != 1 || !strings.Contains(findings.String(), c.want) {
			t.Errorf("%s: %v", c.want, findings)
		}
	}
}

// upstream starts an upstream that responds with body and with its X-Proof header.
// It rejects requests that are meant for another upstream or have no deadline.
func upstream(t *testing.T, id, body string) string {
	t.Helper()
	ln, err := net.Listen("tcp", standin.NewHost())
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Request.Header.Peek("X-Expect-Upstream")) != id || len(ctx.Request.Header.Peek("X-Deadline-Ms")) == 0 {
			ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
			return
		}
		request := string(ctx.Request.Header.Peek("X-Request-Id"))
		ctx.Response.Header.Set("X-Request-Id", request)
		ctx.Response.Header.Set("X-Proof", id+"/"+request)
		ctx.SetBodyString(body)
	}}
	go func() {
		// Serve returns when the listener closes.
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// Runs a node on a deployment file: plain requests, merged queries over shards, and
// a change of the file while the node runs.
func TestNodeServesDeploymentFile(t *testing.T) {
	record := func(c string) string { return strings.Repeat(c, topk.RecordBytes) }
	deployment := read(t, example+"deployment.toml")
	for old, address := range map[string]string{
		"127.0.0.1:9101": upstream(t, "shard-0-a", record("a")),
		"127.0.0.1:9102": upstream(t, "shard-1-a", record("b")),
		"127.0.0.1:9103": upstream(t, "records-a", "a record"),
	} {
		deployment = strings.Replace(deployment, old, address, 1)
	}
	path := filepath.Join(t.TempDir(), "deployment.toml")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(deployment)
	s, findings := ParseSettings("f", []byte(read(t, example+"edge-1.toml")))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	host := netip.MustParseAddrPort(standin.NewHost()).Addr().String()
	s.CallerAddress, s.ReadyAddress, s.DirectoryAddress = host+":1001", host+":1002", host+":1003"
	s.PeerAddress, s.MetricsAddress, s.Seeds = host+":1004", host+":1005", nil
	s.Deployment, s.GraceMs = path, 1500
	set := nodeSettings(s)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	n := node.New(set, node.Options{
		Traffic: &traffic.Meter{},
		Logs:    logring.Nop(), Registry: prometheus.NewRegistry(), Adapter: NewAdapter(set),
		Reload: node.ReloadOptions{Load: func() (*node.Settings, error) { return set, nil }},
	})
	go func() { ended <- n.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	get := func(target string) (int, string, string) {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://" + s.CallerAddress + target)
		req.Header.SetHost("search.example")
		req.UseHostHeader = true
		req.Header.Set("X-Request-Id", "r1")
		if err := fasthttp.DoTimeout(&req, &resp, 10*time.Second); err != nil {
			return 0, "", ""
		}
		return resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("X-Parts")) + string(resp.Header.Peek("X-Proof"))
	}
	eventually := func(target, want string) {
		t.Helper()
		got := ""
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			code, body, proof := get(target)
			if got = fmt.Sprint(code, " ", body, " ", proof); got == want {
				return
			}
		}
		t.Fatalf("%s: %s, want %s", target, got, want)
	}
	eventually("/record/7", "200 a record records-a/r1")
	eventually("/q/x", "200 "+record("b")+record("a")+" shard-0-a/r1, shard-1-a/r1")
	write(strings.Replace(strings.Replace(deployment, "version = 1", "version = 2", 1), "/record/", "/moved/", 1))
	eventually("/moved/7", "200 a record records-a/r1")
}
