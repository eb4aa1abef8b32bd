package standin

import (
	"net/netip"
	"testing"
)

// Symptom: in a test of a killed VM its callers get answers without snapshot.
// Sequence: the VM's port becomes free; the stand-in of another process gets it.
// Cause: all processes used one loopback IP.
func TestFreePortIsOnAnIPOfThisProcess(t *testing.T) {
	u, err := StartUpstream("a", 1, Behaviour{})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	p, err := StartPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for _, text := range []string{u.Address(), p.Address()} {
		at := netip.MustParseAddrPort(text)
		if !at.Addr().IsLoopback() || at.Addr() == netip.MustParseAddr("127.0.0.1") {
			t.Errorf("%s is shared with other processes", text)
		}
	}
}
