package main

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/bench"
)

type benchCommand struct {
	Only  string `help:"Run only the scenarios whose name holds this."`
	Seed  uint64 `default:"11" help:"Fixes arrivals and service times."`
	Pairs bool   `help:"Run all pairs of faults as well."`
	Write string `help:"Write the results as text and JSON into this directory, too."`
}

// Run fails when a property was broken, never for speed.
func (c *benchCommand) Run(out *output) error {
	report, err := bench.Run(bench.Options{Only: c.Only, Seed: c.Seed, Pairs: c.Pairs, Progress: os.Stderr})
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	if err := out.print(report, func() { report.Write(out.to) }); err != nil {
		return err
	}
	return report.Err()
}

func (c *benchCommand) write(report *bench.Report) error {
	if c.Write == "" {
		return nil
	}
	if err := os.MkdirAll(c.Write, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	text, err := os.Create(filepath.Join(c.Write, "bench.txt"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = text.Close() }()
	report.Write(text)
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(c.Write, "bench.json"), data, 0o644))
}
