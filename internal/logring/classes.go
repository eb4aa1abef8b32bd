package logring

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TimeLayout is the layout of the timestamp in the field ts.
const TimeLayout = "2006-01-02T15:04:05.000Z0700"

// Class is the importance of a line, which decides what is dropped first under load.
type Class int

// Classes, from the most to the least important.
const (
	// Change is a line about the state of the process: starts, stops,
	// dependencies, members, revisions, upstream states.
	Change Class = iota
	// Failure is a line about a request that did not end as its contract promises.
	Failure
	// Sample is a line about a successful request.
	Sample
	numClasses
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return [...]string{"change", "failure", "sample"}[c] }

// reservedFraction is the fraction of the rate limit and of the buffer that lines of a class
// leave free for more important ones. Without it, a burst of failures would crowd
// out the line that names its cause, such as a lost member or a slow upstream.
var reservedFraction = [numClasses]float64{Change: 0, Failure: 0.25, Sample: 0.75}

// RequestEnded is the message of the line that records the result of a request.
// Tools that read the logs match it.
const RequestEnded = "edge: request ended"

// Loggers holds one logger per class.
type Loggers struct {
	Changes  *zap.Logger
	Failures *zap.Logger
	Samples  *zap.Logger
}

// Loggers returns loggers that write to the ring.
func (r *Buffer) Loggers() Loggers {
	return Loggers{
		Changes:  r.logger(Change),
		Failures: r.logger(Failure),
		Samples:  r.logger(Sample),
	}
}

// Nop returns loggers that discard all lines.
func Nop() Loggers {
	return Loggers{zap.NewNop(), zap.NewNop(), zap.NewNop()}
}

func (r *Buffer) logger(class Class) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.TimeEncoderOfLayout(TimeLayout)
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), classWriter{r, class}, zapcore.InfoLevel)
	return zap.New(core).With(zap.String("vm", r.vm))
}

// classWriter is a zapcore.WriteSyncer that adds lines of one class to a ring.
type classWriter struct {
	ring  *Buffer
	class Class
}

// Write implements io.Writer. It copies or drops the line and always reports success.
func (w classWriter) Write(line []byte) (int, error) {
	w.ring.add(w.class, line)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It makes Run write the lines soon and does not wait for that.
func (w classWriter) Sync() error {
	w.ring.requestFlush()
	return nil
}
