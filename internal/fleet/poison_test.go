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
	// poison is the body that crashes upstreams, healthy one that does not.
	poison  = `{"query":"poison"}`
	healthy = `{"query":"x"}`
	// mostRuns is how often a request that has crashed three upstreams may run later on.
	mostRuns = 3
	// contact is how long VMs have when they must have heard of what others know.
	contact = 3 * time.Second
)

// poisoned is a fleet whose upstreams end under one body.
type poisoned struct {
	*fleet.Fleet
	t      *testing.T
	client fasthttp.Client
}

func startPoisoned(t *testing.T) *poisoned {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"lease": scattered()},
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
	return &poisoned{Fleet: f, t: t}
}

// ask gives the status of a query at a VM.
func (p *poisoned) ask(vm int, body string) int {
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

// runs is how often upstreams have begun to run the request that crashes them.
func (p *poisoned) runs() int {
	n := 0
	for _, u := range p.Upstreams {
		n += u.RunsOf(poison)
	}
	return n
}

// revive starts the upstreams that have ended, and waits until all VMs answer with them.
func (p *poisoned) revive() {
	p.t.Helper()
	for _, u := range p.Upstreams {
		if err := u.Revive(); err != nil {
			p.t.Fatal(err)
		}
	}
	for vm := range p.VMs {
		for end := time.Now().Add(20 * time.Second); p.ask(vm, healthy) != fasthttp.StatusOK; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				p.t.Fatalf("VM %d does not answer again", vm)
			}
		}
	}
}

// Symptom: upstreams end again and again, each time all replicas of all shards.
// Sequence: a query crashes each upstream that runs it; its caller asks again at any VM, and
// the owners send it to the upstreams that are back.
// Cause: the path over owners took each attempt for the first of its kind.
func TestAPoisonRequestIsWithheldByOwners(t *testing.T) {
	p := startPoisoned(t)
	for i := 0; p.runs() < 3; i++ {
		p.ask(i%len(p.VMs), poison)
		p.revive()
	}
	time.Sleep(contact)
	before := p.runs()
	for range 3 {
		for vm := range p.VMs {
			p.ask(vm, poison)
			p.revive()
		}
	}
	if n := p.runs() - before; n > mostRuns {
		t.Errorf("after %d runs it ran %d times more in 9 attempts", before, n)
	}
}
