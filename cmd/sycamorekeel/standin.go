package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const (
	standinHits   = 5
	standinSpread = 0.4
	republishEach = time.Second
)

type standinCommand struct {
	Platform string        `default:"127.0.0.1:7000" help:"Address of the platform stand-in, as IP:port."`
	Median   time.Duration `default:"4ms" help:"Median service time of the upstreams."`
	Watch    string        `default:"pay-" help:"At the end, report how often request bodies that hold this text ran."`
	Files    []string      `arg:"" type:"existingfile" help:"Contract files (TOML). A file that changes is published again."`

	published map[string]string
	running   map[string]*standin.Upstream
}

// Run serves until a signal comes. Files are read again every second: an edit
// is published as a new revision, as an operator's change would be.
func (c *standinCommand) Run(out *output) error {
	platform, err := standin.StartPlatformAt(c.Platform)
	if err != nil {
		return trace.Wrap(err)
	}
	defer platform.Close()
	c.published = map[string]string{}
	c.running = map[string]*standin.Upstream{}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	tick := time.NewTicker(republishEach)
	defer tick.Stop()
	for {
		if err := c.publish(out, platform); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return c.report(out)
		case <-tick.C:
		}
	}
}

func (c *standinCommand) publish(out *output, platform *standin.Platform) error {
	for _, file := range c.Files {
		body, err := os.ReadFile(file)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if c.published[file] == string(body) {
			continue
		}
		c.published[file] = string(body)
		if err := c.startUpstreams(file, body); err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		out.printf("published %s at revision %d\n", name, platform.Publish(name, body))
	}
	return nil
}

// startUpstreams starts those of the file that do not run yet. A file with
// faults is published all the same: the daemons must turn it down.
func (c *standinCommand) startUpstreams(file string, body []byte) error {
	doc, _ := contract.Check(file, body)
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			if c.running[u.Address] != nil {
				continue
			}
			up, err := standin.StartUpstreamAt(u.Address, s.Name+"/"+u.Id, uint64(len(c.running)), c.behaviour(u))
			if err != nil {
				return trace.Wrap(err)
			}
			c.running[u.Address] = up
		}
	}
	return nil
}

func (c *standinCommand) behaviour(u *pb.Upstream) standin.Behaviour {
	return standin.Behaviour{Median: c.Median, Spread: standinSpread, Slots: int(u.Slots), Hits: standinHits}
}

// standinReport is what the upstreams have seen.
type standinReport struct {
	Served int64 `json:"served"`
	Shed   int64 `json:"shed"`
	// Bodies with the watched text, and the most executions of one of them.
	Watched  int `json:"watched"`
	MostRuns int `json:"most_runs"`
}

func (c *standinCommand) report(out *output) error {
	var r standinReport
	runs := map[string]int{}
	for _, u := range c.running {
		r.Served += u.Served()
		r.Shed += u.Shed()
		for body, n := range u.Runs(c.Watch) {
			runs[body] += n
		}
	}
	r.Watched = len(runs)
	for _, n := range runs {
		r.MostRuns = max(r.MostRuns, n)
	}
	return out.print(r, func() {
		out.printf("served %d, shed %d; of %d requests with %q one ran at most %d times\n", r.Served, r.Shed, r.Watched, c.Watch, r.MostRuns)
	})
}
