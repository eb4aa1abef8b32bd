package main

import (
	"os"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/finding"
)

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Contract files (TOML). Together they are checked as one configuration."`
}

// checkReport is the JSON output of check.
type checkReport struct {
	OK       bool         `json:"ok"`
	Findings finding.List `json:"findings"`
	// Conflicts are faults between the files.
	Conflicts []string `json:"conflicts"`
	// Warnings are permitted but hardly meant; they are not faults.
	Warnings finding.List `json:"warnings"`
}

// Run checks each file and then what they say of each other.
func (c *checkCommand) Run(out *output) error {
	report, err := c.check()
	if err != nil {
		return err
	}
	err = out.print(report, func() {
		for _, f := range report.Findings {
			out.printf("%s\n", f)
		}
		for _, text := range report.Conflicts {
			out.printf("%s\n", text)
		}
		for _, f := range report.Warnings {
			out.printf("warning: %s\n", f)
		}
		if report.OK {
			out.printf("%d files checked, nothing found\n", len(c.Files))
		}
	})
	if err == nil && !report.OK {
		err = trace.BadParameter("%d faults found", len(report.Findings)+len(report.Conflicts))
	}
	return err
}

func (c *checkCommand) check() (*checkReport, error) {
	report := &checkReport{Findings: finding.List{}, Conflicts: []string{}, Warnings: finding.List{}}
	var docs []contract.Accepted
	var files []contract.File
	for i, name := range c.Files {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		doc, findings := contract.Check(name, body)
		report.Findings = append(report.Findings, findings...)
		docs = append(docs, contract.Accepted{Name: name, Revision: uint64(i + 1), Document: doc})
		files = append(files, contract.File{Name: name, Body: body, Document: doc})
	}
	if len(report.Findings) == 0 {
		report.Warnings = append(report.Warnings, contract.Warnings(files)...)
		report.Conflicts = append(report.Conflicts, contract.Compile(1, docs).Conflicts...)
	}
	report.OK = len(report.Findings)+len(report.Conflicts) == 0
	return report, nil
}
