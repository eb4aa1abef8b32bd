package edge

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
)

// Guards against reports of open requests that do not tell where a request waits, and whether it has
// left the VM.
func TestProgressTellsWhereARequestWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Request{Message: &connpool.Message{ID: "id1"}, Received: now.Add(-time.Second)}
	check := func(step string, stage Stage, upstreams int) {
		t.Helper()
		p := r.Progress(now)
		if p.ID != "id1" || p.Age != time.Second || p.Stage != stage || len(p.Upstreams) != upstreams || p.Sent {
			t.Errorf("%s: %+v, want stage %s and %d upstreams, not sent", step, p, stage, upstreams)
		}
	}
	r.progress.enter(StageQueue)
	check("waits for a place", StageQueue, 0)
	r.progress.enter(StageBackoff)
	check("nothing sent", StageBackoff, 0)
	call := &connpool.Call{Upstream: &catalog.Upstream{ID: "u1"}}
	r.progress.addCall(call)
	check("waits for a connection", StageConnect, 1)
	if !call.Withdraw() {
		t.Error("the call was sent")
	}
	check("withdrawn", StageBackoff, 0)
	r.progress.enter(StageAnswer)
	check("answered", StageAnswer, 0)
}
