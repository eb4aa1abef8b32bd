package fleet_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const (
	// poison is a query that crashes every upstream that runs it; healthy is one
	// that does not.
	poison  = `{"query":"poison"}`
	healthy = `{"query":"x"}`
	// maxRuns limits further runs of a request that has crashed three upstreams.
	maxRuns = 3
	// propagationTime is the time within which all VMs must learn of the crashes.
	propagationTime = 3 * time.Second
)

// crashFleet is a fleet whose upstreams crash when they run the poison query.
type crashFleet struct {
	*fleet.Fleet
	t      *testing.T
	client fasthttp.Client
}

func startCrashFleet(t *testing.T) *crashFleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"lease": scatteredDocument()},
		VMs:         3,
		DataCentres: []string{"d1", "d2", "d3"},
		Seed:        5,
		Behaviour: func(u *pb.Upstream, _ string) standin.Behaviour {
			return standin.Behaviour{Median: time.Millisecond, Slots: int(u.Slots), Hits: 2, Snapshots: []string{"1/1"}, CrashOn: "poison"}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &crashFleet{Fleet: f, t: t}
}

// query sends a query to a VM and returns the status.
func (p *crashFleet) query(vm int, body string) int {
	p.t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + p.VMs[vm].Settings.CallerAddress + callerapi.QueryPath + "search")
	req.Header.Set("Authorization", "Bearer "+standin.Token)
	req.SetBodyString(body)
	if err := p.client.DoTimeout(req, resp, time.Minute); err != nil {
		p.t.Fatal(err)
	}
	return resp.StatusCode()
}

// runs returns how many times upstreams have begun to run the poison query.
func (p *crashFleet) runs() int {
	n := 0
	for _, u := range p.Upstreams {
		n += u.RunsOf(poison)
	}
	return n
}

// reviveUpstreams restarts the crashed upstreams and waits until every VM answers a
// healthy query.
func (p *crashFleet) reviveUpstreams() {
	p.t.Helper()
	for _, u := range p.Upstreams {
		if err := u.Revive(); err != nil {
			p.t.Fatal(err)
		}
	}
	for vm := range p.VMs {
		for deadline := time.Now().Add(20 * time.Second); p.query(vm, healthy) != fasthttp.StatusOK; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				p.t.Fatalf("VM %d does not answer after the upstreams were restarted", vm)
			}
		}
	}
}

// Guards against repeated crashes of all replicas of all shards: a query crashes
// each upstream that runs it, its caller resends it to any VM, and the owners send
// it to the restarted upstreams because they do not recognise earlier attempts.
func TestAPoisonRequestIsWithheldByOwners(t *testing.T) {
	p := startCrashFleet(t)
	for i := 0; p.runs() < 3; i++ {
		p.query(i%len(p.VMs), poison)
		p.reviveUpstreams()
	}
	time.Sleep(propagationTime)
	before := p.runs()
	for range 3 {
		for vm := range p.VMs {
			p.query(vm, poison)
			p.reviveUpstreams()
		}
	}
	if n := p.runs() - before; n > maxRuns {
		t.Errorf("after %d runs, 9 further attempts ran the query %d times", before, n)
	}
}
