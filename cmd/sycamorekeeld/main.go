// Command sycamorekeeld is the daemon that runs on every VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sycamorekeel.example/sycamorekeel/internal/daemon"
	"sycamorekeel.example/sycamorekeel/internal/membudget"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/settings"
)

type flags struct {
	Settings string `arg:"" type:"path" help:"Settings file (TOML)."`
}

func main() {
	var f flags
	kong.Parse(&f,
		kong.Name("sycamorekeeld"),
		kong.Description("The sycamorekeel daemon. Everything is set in the settings file; SIGTERM stops it once requests in flight have finished, a second one at once."))
	if err := run(f.Settings); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := newLogger(s)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = log.Sync() }()
	budget := membudget.OfProcess(int64(s.Limits.MemoryMb) << 20)
	budget.LimitHeap()
	d, err := daemon.New(s, daemon.Options{Log: log, Budget: budget})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// After the first signal the default is back: a second one ends the process.
	context.AfterFunc(ctx, cancel)
	return trace.Wrap(d.Run(ctx))
}

func newLogger(s *pb.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.DisableCaller = true
	c.DisableStacktrace = true
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	log, err := c.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("vm", s.Vm)), nil
}
