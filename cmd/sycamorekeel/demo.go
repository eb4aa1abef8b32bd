package main

import (
	"sycamorekeel.example/sycamorekeel/internal/demo"
)

type demoCommand struct {
	VMs      int `default:"3" help:"Daemons for each user."`
	Requests int `default:"25" help:"Requests of each kind after the first."`
}

// Run fails when any property was broken.
func (c *demoCommand) Run(out *output) error {
	report, err := demo.Run(demo.Options{VMs: c.VMs, Requests: c.Requests})
	if err != nil {
		return err
	}
	if err := out.print(report, func() { report.Write(out.to) }); err != nil {
		return err
	}
	return report.Err()
}
