package peerauth_test

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peerauth"
)

func TestPeerAuth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer authentication")
}

// keys returns one peer key per letter, whose secret is the letter repeated.
func keys(letters string) []*pb.PeerKey {
	var out []*pb.PeerKey
	for _, l := range letters {
		out = append(out, &pb.PeerKey{Id: string(l), Secret: strings.Repeat(string(l), 32)})
	}
	return out
}

func authority(vm, letters string) *peerauth.Authority {
	a, err := peerauth.New(vm, keys(letters))
	Expect(err).NotTo(HaveOccurred())
	return a
}

// exchange sends one message over a new connection and returns the VM name that
// the server reads from the client's certificate.
func exchange(server *peerauth.Authority, dial func(address string) (net.Conn, error)) (string, error) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = raw.Close() }()
	ln := server.Listen(raw)
	type outcome struct {
		vm  string
		err error
	}
	result := make(chan outcome, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			result <- outcome{err: err}
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, 5)); err != nil {
			result <- outcome{err: err}
			return
		}
		vm, err := peerauth.PeerName(conn)
		result <- outcome{vm: vm, err: err}
	}()
	conn, err := dial(raw.Addr().String())
	if err == nil {
		_, err = conn.Write([]byte("hello"))
		defer func() { _ = conn.Close() }()
	}
	got := <-result
	if err != nil {
		return "", err
	}
	return got.vm, got.err
}

func dialAs(a *peerauth.Authority) func(string) (net.Conn, error) {
	return func(address string) (net.Conn, error) { return a.Dial(context.Background(), address) }
}

var _ = Describe("streams between daemons", func() {
	// Guards against peers that reject each other during a key replacement: VMs load
	// the new settings one after the other, and must accept more than one key.
	DescribeTable("are accepted at each step of a key replacement",
		func(dialer, listener string) {
			vm, err := exchange(authority("vm-b", listener), dialAs(authority("vm-a", dialer)))
			Expect(err).NotTo(HaveOccurred())
			Expect(vm).To(Equal("vm-a"))
		},
		Entry("one key", "o", "o"),
		Entry("the new key added second", "o", "on"),
		Entry("the new key added on the dialling side first", "on", "o"),
		Entry("the new key signs", "no", "on"),
		Entry("the old key still signs", "on", "no"),
		Entry("the old key removed", "n", "no"),
	)

	DescribeTable("are refused",
		func(dial func(string) (net.Conn, error)) {
			_, err := exchange(authority("vm-b", "on"), dial)
			Expect(err).To(HaveOccurred())
		},
		Entry("with a key of another fleet", dialAs(mustAuthority("vm-a", "x"))),
		Entry("with no certificate", func(address string) (net.Conn, error) {
			return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		}),
		Entry("below TLS 1.3", func(address string) (net.Conn, error) {
			return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12})
		}),
		Entry("in plain text", func(address string) (net.Conn, error) { return net.Dial("tcp", address) }),
	)

	It("are refused by a dialler whose peer has a key of another fleet", func() {
		_, err := exchange(authority("vm-b", "x"), dialAs(authority("vm-a", "on")))
		Expect(err).To(HaveOccurred())
	})

	It("require a key, and errors do not reveal secrets", func() {
		_, err := peerauth.New("vm-a", nil)
		Expect(err).To(HaveOccurred())
		_, err = exchange(authority("vm-b", "x"), dialAs(authority("vm-a", "o")))
		Expect(err.Error()).NotTo(ContainSubstring("ooo"))
		Expect(err.Error()).NotTo(ContainSubstring("xxx"))
	})
})

// mustAuthority is like authority but panics on errors, for use outside of specs.
func mustAuthority(vm, letters string) *peerauth.Authority {
	a, err := peerauth.New(vm, keys(letters))
	if err != nil {
		panic(err)
	}
	return a
}

// BenchmarkHandshake measures one connection on loopback, including the work of both
// sides.
func BenchmarkHandshake(b *testing.B) {
	a := mustAuthority("vm-a", "on")
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ln := a.Listen(raw)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		conn, err := a.Dial(context.Background(), raw.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		_, _ = conn.Write([]byte{1})
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	_ = ln.Close()
	<-done
}
