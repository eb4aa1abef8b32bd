package httpserver

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// maxQueue returns how many connections may wait to be accepted by a listener.
func maxQueue(t *testing.T, ln net.Listener) int {
	t.Helper()
	raw, err := syscallConn(ln)
	if err != nil {
		t.Fatal(err)
	}
	queue := 0
	if err := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listener the kernel reports the limit of its queue in this field.
			queue = int(info.Sacked)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return queue
}

// Guards against connections that wait to be accepted in any number, with what their clients send.
func TestQueueFollowsTheLimit(t *testing.T) {
	meter := &traffic.Meter{}
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"plain":   func(ln net.Listener) net.Listener { return ln },
		"counted": func(ln net.Listener) net.Listener { return meter.Listener(ln, traffic.Directory) },
	} {
		for limit, want := range map[int]int{10: minQueue, 100: 100} {
			ln, err := Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			limiter := &ConnLimiter{Max: limit}
			limited := limiter.Listener(wrap(ln))
			if got := maxQueue(t, limited); got != want {
				t.Errorf("%s, limit %d: %d connections may wait, want %d", name, limit, got, want)
			}
			if err := limited.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}
