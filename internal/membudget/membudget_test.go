package membudget

import "testing"

// Guards against parts that fit each by itself and not together.
func TestPartsLeaveRoom(t *testing.T) {
	// process is what the program takes without load, in bytes.
	const process = 20 << 20
	// queued is what the kernel holds of a connection that waits to be accepted, and minQueue the
	// least number of them at a listener.
	const queued, minQueue = 6 << 10, 64
	for _, mb := range []int64{136, 160, 184, 284, 536} {
		b := Budget{Memory: mb << 20, Descriptors: 8192}
		sum := process + b.UpstreamBodies() + b.published() + b.CallerBodies() + b.OtherBodies() +
			callerConnBytes*b.CallerConns() + smallConnBytes*(b.DirectoryConns()+b.PeerConns()+2*ProbeConns)
		for _, conns := range []int{b.CallerConns(), b.DirectoryConns(), b.PeerConns(), ProbeConns, ProbeConns} {
			sum += queued * max(minQueue, conns)
		}
		if most := 9 * b.Memory / 10; int64(sum) > most {
			t.Errorf("%d MB: the parts take %d MB, want at most %d", mb, sum>>20, most>>20)
		}
	}
}

// Guards against a machine of the smallest size that cannot hold one body of the largest size, or
// fewer connections than requests.
func TestSmallestMachineServesTheLargestBody(t *testing.T) {
	b := Budget{Memory: 136 << 20, Descriptors: 4100}
	if b.CallerBodies() < 12<<20 || b.CallerConns() < 400 {
		t.Errorf("%d bytes of bodies, %d connections", b.CallerBodies(), b.CallerConns())
	}
}

func TestConnectionsFollowMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		budget Budget
		want   int
	}{
		{Budget{Memory: 1 << 40, Descriptors: 300}, 120},
		{Budget{Memory: 64 << 20, Descriptors: 4000}, 234},
		{Budget{Memory: 1 << 20, Descriptors: 10}, ProbeConns},
		{Budget{}, 936},
	} {
		if got := c.budget.CallerConns(); got != c.want {
			t.Errorf("%+v: %d connections, want %d", c.budget, got, c.want)
		}
	}
}

// Guards against a VM of the smallest size that has no room for the fleet that the system is built for:
// 2,500 upstreams with registrations of some two hundred bytes, and a configuration of the largest size.
func TestSmallestMachineHoldsTheLargestFleet(t *testing.T) {
	const upstreams, registration, key, overhead = 2500, 250, 40, 200
	b := Budget{Memory: 136 << 20}
	if need := upstreams * (registration + key + overhead); b.Content() < need {
		t.Errorf("room for %d bytes, want %d", b.Content(), need)
	}
	if need := upstreams*(registration+key) + b.ValueBytes(); b.Page() < need {
		t.Errorf("a page of %d bytes, want %d", b.Page(), need)
	}
}
