package fleet

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const services = `
[[services]]
name = "s"
path = "/s"
[[services.upstreams]]
id = "a"
address = "10.0.0.1:80"
data_centre = "dc-1"
slots = 2
connections = 4
[[services.maps]]
generation = 1
versions = [1]
[[services.maps.shards]]
id = 0
documents = 10
replicas = ["a"]
`

func startFleet(g *WithT, t *testing.T) *Fleet {
	f, err := Start(Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"services": services},
		VMs:         3,
		DataCentres: []string{"dc-1"},
		Behaviour:   func(*pb.Upstream, string) standin.Behaviour { return standin.Behaviour{} },
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	return f
}

func TestKillAndRestart(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(g, t)
	vm := f.VMs[0]
	conn, err := net.Dial("tcp", vm.Settings.CallerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	first := vm.Daemon.Status().Incarnation

	vm.Kill()

	g.Expect(vm.Running()).To(BeFalse())
	_, err = net.Dial("tcp", vm.Settings.CallerAddress)
	g.Expect(err).To(HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	_, err = vm.tracker.dialUpstream(f.Upstreams["s/a"].Address(), time.Second)
	g.Expect(err).To(MatchError(net.ErrClosed))

	g.Expect(f.Restart(0, true)).To(Succeed())
	g.Expect(f.VMs[0].Settings.CallerAddress).To(Equal(vm.Settings.CallerAddress))
	g.Expect(f.VMs[0].Daemon.Status().Incarnation).To(BeNumerically(">", first))
	g.Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(time.Minute).Should(BeEmpty())

	g.Expect(f.Restart(0, false)).To(Succeed())
	g.Expect(f.VMs[0].Settings.CallerAddress).NotTo(Equal(vm.Settings.CallerAddress))
}

// dialPair returns both ends of a connection that vm-1 dialled to vm-2.
func dialPair(g *WithT, n *network) (near, far net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	n.register("vm-2", ln.Addr().String())
	near, err = newConnTracker("vm-1", n).dialPeer(context.Background(), ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	far, err = newConnTracker("vm-2", n).wrapListener(ln).Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return near, far
}

func TestCutHoldsOneDirectionUntilHealed(t *testing.T) {
	for _, cut := range []direction{{"vm-1", "vm-2"}, {"vm-2", "vm-1"}} {
		g := NewWithT(t)
		n := newNetwork()
		near, far := dialPair(g, n)
		from, to := near, far
		if cut.from == "vm-2" {
			from, to = far, near
		}
		n.setCut(cut, true)
		got := make(chan byte, 2)
		go receive(to, got)
		go func() { _, _ = from.Write([]byte{7}) }()
		go func() { _, _ = to.Write([]byte{8}) }()

		var b [1]byte
		_, err := from.Read(b[:])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b[0]).To(Equal(byte(8)), "the opposite direction stays open")
		g.Consistently(got, 50*time.Millisecond).ShouldNot(Receive())

		n.heal()
		g.Eventually(got).WithTimeout(time.Minute).Should(Receive(Equal(byte(7))))
		_ = near.Close()
		_ = far.Close()
	}
}

func receive(c net.Conn, got chan<- byte) {
	var b [1]byte
	if n, _ := c.Read(b[:]); n == 1 {
		got <- b[0]
	}
}

func TestCutDropsDatagrams(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	open := func(vm string) net.PacketConn {
		raw, err := net.ListenPacket("udp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = raw.Close() })
		n.register(vm, raw.LocalAddr().String())
		return newConnTracker(vm, n).wrapPacketConn(raw)
	}
	one, two := open("vm-1"), open("vm-2")
	n.setCut(direction{"vm-1", "vm-2"}, true)
	_, err := one.WriteTo([]byte{1}, two.LocalAddr())
	g.Expect(err).NotTo(HaveOccurred())
	n.heal()
	_, err = one.WriteTo([]byte{2}, two.LocalAddr())
	g.Expect(err).NotTo(HaveOccurred())

	var b [1]byte
	_, _, err = two.ReadFrom(b[:])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b[0]).To(Equal(byte(2)))
}

// Guards against a process that never exits when it is stopped during its start:
// the daemon starts its servers in the background, and a server that has not begun
// to serve ignores the shutdown and begins to serve afterwards.
func TestStopDuringStart(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(g, t)
	const starts = 5
	for range starts {
		g.Expect(f.Restart(0, true)).To(Succeed())
		f.VMs[0].Daemon.AbortStop()
		done := make(chan error, 1)
		go func() { done <- f.VMs[0].Stop() }()
		g.Eventually(done).WithTimeout(time.Minute).Should(Receive(BeNil()))
	}
}

// slowClose is a socket that a reader has not left yet: the first Close waits until released is
// closed, and later ones return at once, as those of package net do.
type slowClose struct {
	net.PacketConn
	net.Listener
	begun    atomic.Bool
	released chan struct{}
}

func (s *slowClose) Close() error {
	if s.begun.Swap(true) {
		return net.ErrClosed
	}
	<-s.released
	return nil
}

// Guards against a restart that fails with "address already in use". Kill closes the callers'
// listener first, upon which the daemon ends and closes its gossip socket itself. Kill's own Close
// of that socket returned at once, while the socket was still open for its reader, and Restart
// listened on the address too early.
func TestEveryCloseWaitsUntilTheSocketIsClosed(t *testing.T) {
	tracker := newConnTracker("vm-1", newNetwork())
	for name, wrap := range map[string]func(*slowClose) io.Closer{
		"gossip":   func(s *slowClose) io.Closer { return tracker.wrapPacketConn(s) },
		"listener": func(s *slowClose) io.Closer { return tracker.wrapListener(s) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				socket := &slowClose{released: make(chan struct{})}
				wrapped := wrap(socket)
				var returned atomic.Int32
				for range 2 {
					go func() {
						_ = wrapped.Close()
						returned.Add(1)
					}()
				}
				synctest.Wait()
				early := returned.Load()
				close(socket.released)
				synctest.Wait()
				g.Expect(early).To(BeZero())
				g.Expect(returned.Load()).To(BeEquivalentTo(2))
			})
		})
	}
}
