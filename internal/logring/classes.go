package logring

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TimeLayout is how lines tell the time, in the field ts.
const TimeLayout = "2006-01-02T15:04:05.000Z0700"

// Class is how much a line matters when not all can be kept.
type Class int

// Classes, from the most to the least important.
const (
	// Change is a line on what the process believes or does: starts, stops,
	// dependencies, members, revisions, states of upstreams.
	Change Class = iota
	// Failure is a line on a request that did not end as its contract promises.
	Failure
	// Sample is a line on a request that went well.
	Sample
	classes
)

// String is the class's name in logs and metrics.
func (c Class) String() string { return [...]string{"change", "failure", "sample"}[c] }

// reserve is the part of the budget and of the buffer that lines of a class leave
// to more important ones. In a storm of failures the line that names its cause,
// a lost member or a slow upstream, would otherwise be among those left out.
var reserve = [classes]float64{Change: 0, Failure: 0.25, Sample: 0.75}

// RequestEnded is the message of the line that tells how a request ended; tools that read
// logs look for it.
const RequestEnded = "edge: request ended"

// Loggers writes lines of each class to one ring.
type Loggers struct {
	Changes  *zap.Logger
	Failures *zap.Logger
	Samples  *zap.Logger
}

// Loggers are the loggers that write to the ring.
func (r *Ring) Loggers() Loggers {
	return Loggers{
		Changes:  r.logger(Change),
		Failures: r.logger(Failure),
		Samples:  r.logger(Sample),
	}
}

// Nop are loggers that write nothing.
func Nop() Loggers {
	return Loggers{zap.NewNop(), zap.NewNop(), zap.NewNop()}
}

func (r *Ring) logger(class Class) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.TimeEncoderOfLayout(TimeLayout)
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), writer{r, class}, zapcore.InfoLevel)
	return zap.New(core).With(zap.String("vm", r.vm))
}

// writer is a zapcore.WriteSyncer for lines of one class.
type writer struct {
	ring  *Ring
	class Class
}

// Write implements io.Writer. It copies the line or drops it, and never fails.
func (w writer) Write(line []byte) (int, error) {
	w.ring.add(w.class, line)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written by Run.
func (w writer) Sync() error { return nil }
