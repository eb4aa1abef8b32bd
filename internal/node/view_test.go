package node

import (
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// newTestDaemon returns a daemon that is not started.
func newTestDaemon() *Daemon {
	return New(&Settings{VM: "v", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Cores: 1}, Options{
		Traffic:  &traffic.Meter{},
		Logs:     logring.Nop(),
		Registry: prometheus.NewRegistry(),
	})
}

// applyTogether applies versions from several goroutines at the same time, many times over, and
// expects the newest to be in force after each time.
func applyTogether(t *testing.T, apply func(version uint64), inForce func() uint64) {
	t.Helper()
	const rounds, writers = 300, 4
	for round := range uint64(rounds) {
		begin := make(chan struct{})
		var applied sync.WaitGroup
		for w := range uint64(writers) {
			applied.Go(func() {
				<-begin
				apply(1 + round*writers + w)
			})
		}
		close(begin)
		applied.Wait()
		if got, newest := inForce(), (round+1)*writers; got != newest {
			t.Fatalf("%d is in force after %d was applied", got, newest)
		}
	}
}

// Guards against a configuration that goes back: of two views applied at the same time, the older
// one stayed in force until the next change.
func TestNewestViewStaysInForce(t *testing.T) {
	d := newTestDaemon()
	applyTogether(t,
		func(version uint64) { d.applyView(&catalog.View{Revision: version}) },
		func() uint64 { return d.engine.View().Revision })
}

// Guards against a member list that goes back, by the same race.
func TestNewestMembersStayInForce(t *testing.T) {
	d := newTestDaemon()
	applyTogether(t,
		func(version uint64) { d.applyMembers(&membership.View{Version: version}) },
		func() uint64 { return d.members.Load().Version })
}
