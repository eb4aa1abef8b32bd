package traffic

import (
	"strings"

	"go.uber.org/zap/zapcore"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// Message is the message of the log line that reports what was counted since the
	// previous such line.
	Message = "node: traffic"
	// FieldCarrying is the key of a boolean field: whether callers are sent to the VM.
	FieldCarrying = "carrying"
	// connections takes the place of the purpose in the keys of the connection counts.
	connections = "connections"
	// separator separates purpose and distance in a field key.
	separator = "."
)

// MarshalLogObject implements zapcore.ObjectMarshaler. It adds a field for each nonzero
// count, with a key built from purpose and distance.
func (c Counts) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	add := func(name string, d int, n uint64) {
		if n > 0 {
			enc.AddUint64(name+separator+locality.Distance(d).String(), n)
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

// SplitField splits the key of a count in the log line into purpose and distance. ok is false if
// the key does not belong to a count.
func SplitField(key string) (purpose, distance string, ok bool) {
	return strings.Cut(key, separator)
}
