package traffic

import (
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

// Guards against counts from which the cause of bytes between regions is not evident: probes,
// pages and sub-requests share the links, so totals are not enough.
func TestCountsByPurposeAndDistance(t *testing.T) {
	var m Meter
	m.Add(Gossip, locality.Far, 300)
	before := m.Counts()
	m.Add(Gossip, locality.Far, 40)
	m.Add(Part, locality.Near, 7)
	m.Opened(locality.Regional)
	enc := zapcore.NewMapObjectEncoder()
	if err := m.Counts().Sub(before).MarshalLogObject(enc); err != nil {
		t.Fatal(err)
	}
	want := map[string]uint64{"gossip.far": 40, "part.data_centre": 7, "connections.region": 1}
	if len(enc.Fields) != len(want) {
		t.Errorf("logged %v", enc.Fields)
	}
	for name, n := range want {
		if enc.Fields[name] != n {
			t.Errorf("%s is %v, want %d", name, enc.Fields[name], n)
		}
		if _, _, ok := SplitField(name); !ok {
			t.Errorf("Field does not recognise %s", name)
		}
	}
}

func TestMetrics(t *testing.T) {
	reg := prometheus.NewRegistry()
	m := &Meter{}
	reg.MustRegister(m)
	m.Add(Store, locality.Unknown, 5)
	m.Opened(locality.Far)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != 2 || families[0].Metric[0].Counter.GetValue() != 5 || families[1].Metric[0].Counter.GetValue() != 1 {
		t.Errorf("gathered %v", families)
	}
}

func TestConnCountsReadsAndWrites(t *testing.T) {
	var m Meter
	local, remote := net.Pipe()
	c := m.Conn(local, Store, locality.Unknown)
	go func() {
		b := make([]byte, 3)
		_, _ = remote.Read(b)
		_, _ = remote.Write([]byte("answer"))
		_ = remote.Close()
	}()
	if _, err := c.Write([]byte("ask")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if got := m.Counts().Bytes[Store][locality.Unknown]; got != 9 {
		t.Errorf("counted %d bytes", got)
	}
}
