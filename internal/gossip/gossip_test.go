package gossip_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	// Generous, so that the tests pass on a busy machine.
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "Gossip")
}

var (
	oldKey = &pb.PeerKey{Id: "old", Secret: strings.Repeat("o", 32)}
	newKey = &pb.PeerKey{Id: "new", Secret: strings.Repeat("n", 32)}
	badKey = &pb.PeerKey{Id: "bad", Secret: strings.Repeat("b", 32)}
)

// testDriver is a driver on a loopback socket.
type testDriver struct {
	driver   *gossip.Driver
	registry *prometheus.Registry
	conn     net.PacketConn
	stop     func()
	// superseded receives the arguments of the Superseded callback.
	superseded chan uint64
	// clockOffset is added to the clock; increasing it simulates a pause of the
	// process.
	clockOffset atomic.Int64
	// pauses receives one entry per Revalidate and Revalidated callback.
	pauses chan string
}

func listen() net.PacketConn {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func start(vm string, incarnation uint64, keys []*pb.PeerKey, seeds ...string) *testDriver {
	conn := listen()
	s := &testDriver{registry: prometheus.NewRegistry(), conn: conn, superseded: make(chan uint64, 100), pauses: make(chan string, 100)}
	s.driver = gossip.New(gossip.Options{
		Log:      zap.NewNop(),
		Registry: s.registry,
		Keys:     keys,
		Now:      func() time.Time { return time.Now().Add(time.Duration(s.clockOffset.Load())) },
		Node: membership.Options{
			Self:   &pb.MemberUpdate{Vm: vm, Incarnation: incarnation, PeerAddress: conn.LocalAddr().String()},
			Seeds:  seeds,
			Timing: membership.Timing{Period: 50 * time.Millisecond, DirectTimeout: 20 * time.Millisecond, RevalidationRetry: 300 * time.Millisecond},
		},
		Callbacks: gossip.Callbacks{
			View:        func(*membership.View) {},
			Revalidate:  func() { s.pauses <- "paused" },
			Revalidated: func(alone bool) { s.pauses <- fmt.Sprintf("alone=%t", alone) },
			Superseded:  func(inc uint64) { s.superseded <- inc },
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.driver.Run(ctx, conn) }()
	s.stop = func() {
		cancel()
		Expect(<-done).To(Succeed())
	}
	return s
}

func (s *testDriver) address() string { return s.conn.LocalAddr().String() }

func (s *testDriver) serving() []string {
	var out []string
	for _, m := range s.driver.View().Serving() {
		out = append(out, m.VM)
	}
	return out
}

// dropped returns the number of datagrams dropped for a reason.
func (s *testDriver) dropped(reason gossip.Reason) float64 {
	families, err := s.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, f := range families {
		if f.GetName() != "sycamorekeel_gossip_dropped_total" {
			continue
		}
		for _, m := range f.Metric {
			if m.Label[0].GetValue() == string(reason) {
				return m.Counter.GetValue()
			}
		}
	}
	return 0
}

func message(vm string, incarnation, sequence uint64) *pb.Datagram {
	return &pb.Datagram{
		Sender:   &pb.MemberUpdate{Vm: vm, Incarnation: incarnation, State: pb.MemberState_ALIVE, PeerAddress: "127.0.0.1:9"},
		Sequence: sequence,
	}
}

func sign(key *pb.PeerKey, d *pb.Datagram) []byte {
	b, err := gossip.NewSigner([]*pb.PeerKey{key}).Sign(d)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// signedWith returns a signed datagram after applying an edit to a valid one.
func signedWith(edit func(*pb.Datagram)) func() []byte {
	return func() []byte {
		d := message("vm-x", 5, 1)
		edit(d)
		return sign(newKey, d)
	}
}

var _ = Describe("an invalid datagram", func() {
	// Guards against sending work to a nonexistent VM, or a crash, when bytes
	// from elsewhere reach the gossip port and are processed before authentication.
	DescribeTable("is counted and changes no members",
		func(bytes func() []byte, reason gossip.Reason) {
			s := start("vm-a", 10, []*pb.PeerKey{newKey, oldKey})
			defer s.stop()
			out := listen()
			defer func() { _ = out.Close() }()
			_, err := out.WriteTo(bytes(), s.conn.LocalAddr())
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() float64 { return s.dropped(reason) }).Should(BeEquivalentTo(1))
			Expect(s.serving()).To(Equal([]string{"vm-a"}))
			Expect(s.driver.View().Members).To(HaveLen(1))
		},
		Entry("too short", func() []byte { return []byte("hello") }, gossip.TooShort),
		Entry("oversized", func() []byte { return make([]byte, membership.MaxDatagram+200) }, gossip.TooLong),
		Entry("unsigned", func() []byte { return make([]byte, 200) }, gossip.Unsigned),
		Entry("signed with the key of another fleet", func() []byte { return sign(badKey, message("vm-x", 5, 1)) }, gossip.Unsigned),
		Entry("one bit flipped", func() []byte {
			b := sign(newKey, message("vm-x", 5, 1))
			b[len(b)-1] ^= 1
			return b
		}, gossip.Unsigned),
		Entry("no sequence number", signedWith(func(d *pb.Datagram) { d.Sequence = 0 }), gossip.Malformed),
		Entry("no sender", signedWith(func(d *pb.Datagram) { d.Sender = nil }), gossip.Malformed),
		Entry("no VM name", signedWith(func(d *pb.Datagram) { d.Sender.Vm = "" }), gossip.Malformed),
		Entry("VM name too long", signedWith(func(d *pb.Datagram) { d.Sender.Vm = strings.Repeat("x", 64) }), gossip.Malformed),
		Entry("sender state DEAD", signedWith(func(d *pb.Datagram) { d.Sender.State = pb.MemberState_DEAD }), gossip.Malformed),
		Entry("no peer address", signedWith(func(d *pb.Datagram) { d.Sender.PeerAddress = "" }), gossip.Malformed),
		Entry("invalid peer address", signedWith(func(d *pb.Datagram) { d.Sender.PeerAddress = "vm-x:port" }), gossip.Malformed),
		Entry("update without a state", signedWith(func(d *pb.Datagram) {
			d.Updates = []*pb.MemberUpdate{{Vm: "vm-y", Incarnation: 1}}
		}), gossip.Malformed),
		Entry("a valid update next to an invalid one", signedWith(func(d *pb.Datagram) {
			good := proto.CloneOf(d.Sender)
			good.Vm = "vm-y"
			d.Updates = []*pb.MemberUpdate{good, {State: pb.MemberState_DEAD}}
		}), gossip.Malformed),
	)

	// Guards against a restarted member being marked as leaving again when a
	// recorded datagram is replayed, its own or that of an older process of the VM.
	// A signature alone does not prove freshness.
	It("is dropped when it is replayed", func() {
		s := start("vm-a", 10, []*pb.PeerKey{newKey})
		defer s.stop()
		out := listen()
		defer func() { _ = out.Close() }()
		send := func(d *pb.Datagram) {
			_, err := out.WriteTo(sign(newKey, d), s.conn.LocalAddr())
			Expect(err).NotTo(HaveOccurred())
		}
		send(message("vm-x", 5, 2))
		Eventually(s.serving).Should(Equal([]string{"vm-a", "vm-x"}))
		send(message("vm-x", 5, 2))
		Eventually(func() float64 { return s.dropped(gossip.Replayed) }).Should(BeEquivalentTo(1))
		old := message("vm-x", 4, 9)
		old.Sender.State = pb.MemberState_LEAVING
		send(old)
		Eventually(func() float64 { return s.dropped(gossip.Outdated) }).Should(BeEquivalentTo(1))
		Expect(s.serving()).To(Equal([]string{"vm-a", "vm-x"}))
	})
})

var _ = DescribeTable("the replay filter accepts each sequence number once",
	func(sequences []uint64, want []gossip.Reason) {
		f := gossip.NewReplayFilter()
		var got []gossip.Reason
		for _, q := range sequences {
			got = append(got, f.Accept(time.Unix(1, 0), "vm", 1, q))
		}
		Expect(got).To(Equal(want))
	},
	Entry("in order", []uint64{1, 2, 3}, []gossip.Reason{"", "", ""}),
	Entry("repeated", []uint64{1, 1, 2, 1}, []gossip.Reason{"", gossip.Replayed, "", gossip.Replayed}),
	Entry("reordered", []uint64{5, 3, 4, 3}, []gossip.Reason{"", "", "", gossip.Replayed}),
	Entry("jump beyond the window", []uint64{1, 1000, 936, 937, 937}, []gossip.Reason{"", "", gossip.Replayed, "", gossip.Replayed}),
)

var _ = Describe("drivers", func() {
	It("discover each other through a seed during a key rotation and leak no goroutines", func() {
		leaks := goleak.IgnoreCurrent()
		a := start("vm-a", 10, []*pb.PeerKey{oldKey, newKey})
		b := start("vm-b", 11, []*pb.PeerKey{newKey, oldKey}, a.address())
		all := []string{"vm-a", "vm-b"}
		Eventually(a.serving).Should(Equal(all))
		Eventually(b.serving).Should(Equal(all))
		a.stop()
		b.stop()
		Eventually(func() error { return goleak.Find(leaks) }).Should(Succeed())
	})

	// Guards against two processes serving under one VM name: a VM is replaced
	// while its old process is partitioned, and the partition heals. If peers only
	// dropped the old process's datagrams, it would never learn of its successor.
	It("notify an old process that a newer one has its name", func() {
		a := start("vm-a", 10, []*pb.PeerKey{newKey})
		defer a.stop()
		b := start("vm-b", 12, []*pb.PeerKey{newKey}, a.address())
		defer b.stop()
		Eventually(a.serving).Should(HaveLen(2))
		old := start("vm-b", 11, []*pb.PeerKey{newKey}, a.address())
		defer old.stop()
		Eventually(old.superseded).Should(Receive(BeEquivalentTo(12)))
		Expect(b.superseded).To(BeEmpty())
	})

	// Guards against two VMs sending to one upstream, or admitting a request under
	// an old configuration: a process is paused, its peers declare it dead, and on
	// waking it acts on its state from before the pause.
	It("forbid new work after a pause until a peer answers", func() {
		a := start("vm-a", 10, []*pb.PeerKey{newKey})
		defer a.stop()
		b := start("vm-b", 12, []*pb.PeerKey{newKey}, a.address())
		Eventually(a.serving).Should(HaveLen(2))
		Expect(a.driver.Revalidating(time.Now())).To(BeFalse())
		Expect(a.driver.Revalidating(time.Now().Add(time.Minute))).To(BeTrue(), "before the first tick after a pause")
		a.clockOffset.Store(int64(time.Minute))
		Eventually(a.pauses).Should(Receive(Equal("paused")))
		Eventually(a.pauses).Should(Receive(Equal("alone=false")))
		b.stop()
		a.clockOffset.Store(int64(time.Hour))
		Eventually(a.pauses).Should(Receive(Equal("paused")))
		Eventually(a.pauses).Should(Receive(Equal("alone=true")))
		Expect(a.driver.Revalidating(time.Now().Add(time.Hour))).To(BeFalse())
	})
})
