package traffic

import (
	"strings"

	"go.uber.org/zap/zapcore"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// Message is the message of the log line that tells what was counted since the one
	// before.
	Message = "node: traffic"
	// FieldCarrying says whether callers are sent to the VM.
	FieldCarrying = "carrying"
	// connections is the name of the counts of connections.
	connections = "connections"
	// joint joins a purpose and a distance to the name of a field.
	joint = "."
)

// MarshalLogObject implements zapcore.ObjectMarshaler: one field for each count that is
// not zero, named by purpose and distance.
func (c Counts) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	add := func(name string, d int, n uint64) {
		if n > 0 {
			enc.AddUint64(name+joint+locality.Distance(d).String(), n)
		}
	}
	for p := range c.Bytes {
		for d, n := range c.Bytes[p] {
			add(Purpose(p).String(), d, n)
		}
	}
	for d, n := range c.Opened {
		add(connections, d, n)
	}
	return nil
}

// Field takes the name of a field of the log line apart; false when it is none of a count.
func Field(name string) (purpose, distance string, ok bool) {
	return strings.Cut(name, joint)
}
