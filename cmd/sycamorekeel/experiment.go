package main

import (
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/spread"
)

type experimentCommand struct {
	Spread spreadCommand `cmd:"" help:"Play a storm of changes of the configuration over fleets in virtual time: when each VM has them, and what it costs."`
}

type spreadCommand struct {
	VMs         []int         `name:"vms" default:"9,70,300,550" help:"Sizes of the fleets."`
	Seeds       []uint64      `default:"1,2,3" help:"Seeds; one repeats its run."`
	Document    int           `default:"1000000" help:"Size of the configuration in bytes."`
	Gap         time.Duration `default:"100ms" help:"Time between two changes."`
	Length      time.Duration `default:"14s" help:"How long the changes go on."`
	Bound       time.Duration `default:"5s" help:"Time within which every VM must have a change."`
	LoseReaders bool          `help:"End the VMs that read the store after a third of the time."`
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
		Gap: c.Gap, Length: c.Length, LoseReaders: c.LoseReaders, Plain: c.Plain,
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
