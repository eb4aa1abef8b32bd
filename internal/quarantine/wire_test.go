package quarantine

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

func TestEncodeDecode(t *testing.T) {
	want := []Entry{
		{Content: content(1), Epoch: 3, Rounds: 4, Blocks: 1, Ended: []uint32{1, 1 << 31}, Age: 7 * time.Second, Trial: true},
		{Content: content(2), Epoch: 2},
	}
	got, dropped := Decode(Encode(want))
	if dropped != 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Invalid entries from a faulty peer or a forger are dropped.
func TestDecodeDropsInvalidEntries(t *testing.T) {
	good := Encode([]Entry{{Content: content(1), Epoch: 1, Rounds: 1}})[0]
	for name, spoil := range map[string]func(*pb.QuarantineEntry){
		"no content":     func(m *pb.QuarantineEntry) { m.Content = nil },
		"long content":   func(m *pb.QuarantineEntry) { m.Content = make([]byte, 17) },
		"no epoch":       func(m *pb.QuarantineEntry) { m.Epoch = 0 },
		"last epoch":     func(m *pb.QuarantineEntry) { m.Epoch = 1<<32 - 1 },
		"many upstreams": func(m *pb.QuarantineEntry) { m.Ended = make([]uint32, 9) },
		"many blocks":    func(m *pb.QuarantineEntry) { m.Blocks = 1 << 31 },
		"great age":      func(m *pb.QuarantineEntry) { m.AgeMs = 1 << 63 },
	} {
		bad := proto.Clone(good).(*pb.QuarantineEntry)
		spoil(bad)
		if got, dropped := Decode([]*pb.QuarantineEntry{bad, nil, good}); len(got) != 1 || dropped != 2 {
			t.Errorf("%s: %d accepted, %d dropped", name, len(got), dropped)
		}
	}
}

// MaxDatagramEntries entries of the maximum size fit into a datagram.
func TestEntriesFitIntoDatagram(t *testing.T) {
	// room is a datagram's size in bytes without its signature, sequence number and sender.
	const room = 900
	d := &pb.Datagram{}
	for range MaxDatagramEntries {
		e := Entry{Content: content(1), Epoch: maxEpoch - 1, Rounds: maxCount - 1, Blocks: maxCount - 1, Ended: make([]uint32, MaxInstances), Age: maxAge, Trial: true}
		d.Quarantine = append(d.Quarantine, Encode([]Entry{e})...)
	}
	if n := proto.Size(d); n > room {
		t.Errorf("%d bytes", n)
	}
}

// The ages of ended processes survive a message. Ages that do not fit the processes are invalid.
func TestAgesOfEndedProcessesOnTheWire(t *testing.T) {
	want := []Entry{{Content: content(1), Epoch: 1, Rounds: 1, Ended: []uint32{5, 5}, EndedAges: []time.Duration{3 * time.Second, 1500 * time.Microsecond}, Age: time.Second}}
	got, dropped := Decode(Encode(want))
	if dropped != 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	for _, ages := range [][]uint64{{1}, {1, 2, 3}, {1, uint64(maxAge.Microseconds()) + 1}} {
		bad := Encode(want)
		bad[0].EndedAgeUs = ages
		if _, dropped := Decode(bad); dropped != 1 {
			t.Errorf("ages %v are accepted", ages)
		}
	}
}

// Entries with the ages of their processes are no larger than those with most processes.
func TestEntriesWithAgesFitIntoDatagram(t *testing.T) {
	size := func(e Entry) int { return proto.Size(Encode([]Entry{e})[0]) }
	most := Entry{Content: content(1), Epoch: maxEpoch - 1, Rounds: maxCount - 1, Blocks: maxCount - 1, Ended: make([]uint32, MaxInstances), Age: maxAge, Trial: true}
	aged := most
	aged.Ended = make([]uint32, suspectCrashes-1)
	for range aged.Ended {
		aged.EndedAges = append(aged.EndedAges, maxAge)
	}
	if size(aged) > size(most) {
		t.Errorf("%d bytes, and %d with most processes", size(aged), size(most))
	}
}
