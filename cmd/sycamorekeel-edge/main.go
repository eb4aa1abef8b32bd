// Command sycamorekeel-edge is the daemon that serves callers on the users'
// platform: over direct connections to upstreams, with the settings file that
// the platform lays on each VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/node"
	"sycamorekeel.example/sycamorekeel/internal/placement"
	"sycamorekeel.example/sycamorekeel/platform"
)

// gcPercent lets the heap grow by a part before it is collected: memory is
// dearer than processor time here, and the live heap is a few MB.
const gcPercent = 50

type flags struct {
	Role string `arg:"" optional:"" help:"Name of the role, for the process list."`
}

func main() {
	var f flags
	kong.Parse(&f,
		kong.Name("sycamorekeel-edge"),
		kong.Description("The sycamorekeel daemon of the users' platform. The environment variable "+platform.SettingsVariable+" names its settings file; SIGTERM stops it once requests in flight have finished."))
	debug.SetGCPercent(gcPercent)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func run() error {
	set, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	ring := logring.New(os.Stdout, time.Now)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	logCtx, endLog := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- ring.Run(logCtx) }()
	n := node.New(set, node.Options{
		Log:      newLogger(ring, set.VM),
		Registry: prometheus.NewRegistry(),
		Adapter:  adapter(set),
		Reloading: node.Reloading{
			Load:    platform.LoadSettings,
			Signals: hup,
		},
	})
	err = n.Run(ctx)
	endLog()
	return trace.NewAggregate(err, <-logged)
}

func newLogger(ring *logring.Ring, vm string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), ring, zapcore.InfoLevel)
	return zap.New(core).With(zap.String("vm", vm))
}

// adapter speaks the users' platform.
func adapter(set *node.Settings) node.Adapter {
	return node.Adapter{
		Store:     platform.NewStore(set.Store),
		Decoder:   platform.Documents{},
		Upstreams: platform.Upstreams{},
		Callers: func(e *edge.Engine, leaving func() bool) fasthttp.RequestHandler {
			return platform.NewIngress(e, leaving).Handle
		},
		Directory: func(choose func(placement.Caller) []string, ttl time.Duration) fasthttp.RequestHandler {
			return platform.NewDirectory(choose, ttl).Handle
		},
		Ready: platform.ReadyHandler,
	}
}
