// Command sycamorekeel-edge is the daemon that serves callers over direct
// connections to upstreams: on the users' platform, with the settings file that
// the platform lays on each VM, or over the project's own interface.
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
	"github.com/prometheus/client_golang/prometheus/collectors"

	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membudget"
	"sycamorekeel.example/sycamorekeel/internal/node"
	"sycamorekeel.example/sycamorekeel/internal/standalone"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
	"sycamorekeel.example/sycamorekeel/platform"
)

// gcPercent lets the heap grow by a part before it is collected: memory is
// dearer than processor time here, and the live heap is a few MB.
const gcPercent = 50

type flags struct {
	Role       string `arg:"" optional:"" help:"Name of the role, for the process list."`
	PeerListen string `help:"IP and port to listen on for peers, when a forwarder stands before the address of the settings." placeholder:"ADDRESS"`
	Settings   string `type:"existingfile" help:"Settings file (TOML) of the project's own interface. Without it, the settings of the users' platform are read."`
}

func main() {
	var f flags
	kong.Parse(&f,
		kong.Name("sycamorekeel-edge"),
		kong.Description("The sycamorekeel daemon of the users' platform. The environment variable "+platform.SettingsVariable+" names its settings file; SIGTERM stops it once requests in flight have finished."))
	debug.SetGCPercent(gcPercent)
	if err := run(f.environment()); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

// environment is what the daemon runs in.
type environment struct {
	load    func() (*node.Settings, error)
	adapter func(*node.Settings, *traffic.Meter) node.Adapter
}

func (f *flags) environment() environment {
	env := environment{platform.LoadSettings, platform.NewAdapter}
	if f.Settings != "" {
		env = environment{
			func() (*node.Settings, error) { return standalone.LoadSettings(f.Settings) },
			func(set *node.Settings, _ *traffic.Meter) node.Adapter { return standalone.NewAdapter(set) },
		}
	}
	load := env.load
	env.load = func() (*node.Settings, error) {
		set, err := load()
		if err != nil {
			return nil, err
		}
		set.PeerListen = f.PeerListen
		return set, nil
	}
	return env
}

func run(env environment) error {
	set, err := env.load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(membudget.HeapShare * float64(set.MemoryBytes)))
	ring := logring.New(set.VM, os.Stdout, time.Now)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	logCtx, endLog := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- ring.Run(logCtx) }()
	registry := prometheus.NewRegistry()
	registry.MustRegister(ring, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	meter := &traffic.Meter{}
	n := node.New(set, node.Options{
		Traffic:  meter,
		Logs:     ring.Loggers(),
		Registry: registry,
		Adapter:  env.adapter(set, meter),
		Reload: node.ReloadOptions{
			Load:    env.load,
			Signals: hup,
		},
	})
	err = n.Run(ctx)
	endLog()
	return trace.NewAggregate(err, <-logged)
}
