package main

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/balance"
	"sycamorekeel.example/sycamorekeel/internal/spread"
)

type experimentCommand struct {
	Balance balanceCommand `cmd:"" help:"Play ways of deciding about queries over modelled upstreams in virtual time: answers in time, late, refused and failed, and extra sends."`
	Spread  spreadCommand  `cmd:"" help:"Play a storm of changes of the configuration over fleets in virtual time: when each VM has them, and what it costs."`
}

type spreadCommand struct {
	VMs         []int         `name:"vms" default:"9,70,300,550" help:"Sizes of the fleets."`
	Seeds       []uint64      `default:"1,2,3" help:"Seeds; one repeats its run."`
	Document    int           `default:"1000000" help:"Size of the configuration in bytes."`
	Gap         time.Duration `default:"100ms" help:"Time between two changes."`
	Length      time.Duration `default:"14s" help:"How long the changes go on."`
	Bound       time.Duration `default:"5s" help:"Time within which every VM must have a change."`
	LoseReaders bool          `help:"End the VMs that read the store after a third of the time."`
	Evacuate    bool          `help:"Begin and end evacuations of data centres meanwhile."`
	Plain       bool          `help:"Pages travel whole, as between VMs of releases that differ."`
	Plot        string        `type:"path" help:"Write a plot to this file, .svg, .png or .pdf."`
}

// Run prints a line for each size and seed. Exit status 1 when a VM passed the bound.
func (c *spreadCommand) Run(out *output) error {
	if err := c.check(); err != nil {
		return err
	}
	e := spread.Experiment{
		Sizes: c.VMs, Seeds: c.Seeds, Bound: c.Bound, Document: c.Document,
		Gap: c.Gap, Length: c.Length, LoseReaders: c.LoseReaders, Plain: c.Plain, Evacuate: c.Evacuate,
	}
	results := e.Run()
	var failed error
	if err := out.print(results, func() { failed = spread.Write(out.to, results) }); err != nil {
		return err
	}
	if failed != nil {
		return trace.Wrap(failed)
	}
	if c.Plot != "" {
		if err := spread.Plot(c.Plot, results); err != nil {
			return err
		}
	}
	for _, r := range results {
		if r.Overdue != "" {
			return trace.LimitExceeded("a VM passed the bound of %v", c.Bound)
		}
	}
	return nil
}

// leastLength is the shortest storm that has its readers lost and its peers told in it.
const leastLength = 3 * time.Second

// check tells every option that is out of range.
func (c *spreadCommand) check() error {
	for _, n := range c.VMs {
		if n < 1 || n > 2000 {
			return trace.BadParameter("--vms: must be from 1 to 2000, is %d", n)
		}
	}
	switch {
	case c.Document < 1 || c.Document > 16<<20:
		return trace.BadParameter("--document: must be from 1 to %d bytes, is %d", 16<<20, c.Document)
	case c.Gap < 25*time.Millisecond:
		return trace.BadParameter("--gap: must be 25ms or more, is %v", c.Gap)
	case c.Length < leastLength:
		return trace.BadParameter("--length: must be %v or more, is %v", leastLength, c.Length)
	case c.Bound < time.Second:
		return trace.BadParameter("--bound: must be 1s or more, is %v", c.Bound)
	}
	return nil
}

type balanceCommand struct {
	Patterns  []string `name:"pattern" default:"quiet,refusing,slow,losing,down,cold" help:"What befalls the upstreams; all for every pattern: ${balance_patterns}."`
	Ways      []string `name:"way" default:"standing" help:"Ways of deciding; all for every way: ${balance_ways}."`
	Seeds     []uint64 `default:"1,2,3" help:"Seeds; one repeats its run."`
	VMs       int      `name:"vms" default:"12" help:"VMs that carry callers."`
	Shards    int      `default:"8" help:"Shards that each query asks."`
	Copies    int      `default:"3" help:"Copies of a shard."`
	Slots     int      `default:"2" help:"Requests that a copy runs at a time."`
	Busy      float64  `default:"0.08" help:"Part of the slots that the usual load keeps busy."`
	Ratio     float64  `default:"0.2" help:"Extra sends for each request."`
	Allowance float64  `default:"170" help:"Extra sends beside the ratio in ten seconds, over all VMs."`
	Plot      string   `type:"path" help:"Write a plot to this file, .svg, .png or .pdf."`
}

// Run prints a line for each pattern, way and seed.
func (c *balanceCommand) Run(out *output) error {
	e, err := c.experiment()
	if err != nil {
		return err
	}
	results, err := e.Run()
	if err != nil {
		return err
	}
	var failed error
	if err := out.print(results, func() { failed = balance.Write(out.to, results) }); err != nil {
		return err
	}
	if failed != nil {
		return trace.Wrap(failed)
	}
	if c.Plot == "" {
		return nil
	}
	return balance.Plot(c.Plot, results)
}

// everything stands for all patterns or all ways.
const everything = "all"

// experiment reads the options; an error names the one that is out of range.
func (c *balanceCommand) experiment() (*balance.Experiment, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	e := &balance.Experiment{Ways: c.Ways, Seeds: c.Seeds, Options: balance.DefaultOptions()}
	o := &e.Options
	o.VMs, o.Shards, o.Copies, o.Slots, o.Busy = c.VMs, c.Shards, c.Copies, c.Slots, c.Busy
	o.Budget.Ratio, o.Budget.Allowance = c.Ratio, c.Allowance
	if slices.Contains(c.Ways, everything) {
		e.Ways = balance.WayNames()
	}
	for _, way := range e.Ways {
		if _, err := balance.ParseWays(way); err != nil {
			return nil, trace.Wrap(err, "--way")
		}
	}
	if slices.Contains(c.Patterns, everything) {
		e.Patterns = balance.Patterns
		return e, nil
	}
	for _, name := range c.Patterns {
		p, err := balance.FindPattern(name)
		if err != nil {
			return nil, trace.Wrap(err, "--pattern")
		}
		e.Patterns = append(e.Patterns, p)
	}
	return e, nil
}

// check tells every number that is out of range.
func (c *balanceCommand) check() error {
	for _, n := range []struct {
		option string
		value  int
		most   int
	}{
		{"--vms", c.VMs, 600},
		{"--shards", c.Shards, 400},
		{"--copies", c.Copies, 16},
		{"--slots", c.Slots, 256},
	} {
		if n.value < 1 || n.value > n.most {
			return trace.BadParameter("%s: must be from 1 to %d, is %d", n.option, n.most, n.value)
		}
	}
	switch {
	case !(c.Busy > 0 && c.Busy <= 1):
		return trace.BadParameter("--busy: must be over 0 and at most 1, is %v", c.Busy)
	case !(c.Ratio >= 0 && c.Ratio <= 1):
		return trace.BadParameter("--ratio: must be from 0 to 1, is %v", c.Ratio)
	case !(c.Allowance >= 0 && c.Allowance <= 1e6):
		return trace.BadParameter("--allowance: must be from 0 to 1000000, is %v", c.Allowance)
	}
	return nil
}
