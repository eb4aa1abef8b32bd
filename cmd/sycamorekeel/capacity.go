package main

import "sycamorekeel.example/sycamorekeel/internal/capacity"

type capacityCommand struct{}

// Run prints the slopes of docs/CAPACITY.md.
func (c *capacityCommand) Run(out *output) error {
	report, err := capacity.Run()
	if err != nil {
		return err
	}
	return out.print(report, func() { report.Write(out.to) })
}
