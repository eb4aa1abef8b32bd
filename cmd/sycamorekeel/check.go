package main

import (
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/settings"
	"sycamorekeel.example/sycamorekeel/internal/standalone"
	"sycamorekeel.example/sycamorekeel/platform"
)

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Contract, deployment and settings files (TOML). Contract files are checked together as one configuration; without one that defines services, names of services are only warned of."`
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
		if findings, ok := otherFindings(name, body); ok {
			report.Findings = append(report.Findings, findings...)
			continue
		}
		doc, findings := contract.Check(name, body)
		report.Findings = append(report.Findings, findings...)
		docs = append(docs, contract.Accepted{Name: name, Revision: uint64(i + 1), Document: doc})
		files = append(files, contract.File{Name: name, Body: body, Document: doc})
	}
	if len(report.Findings) == 0 {
		report.Warnings = append(report.Warnings, contract.Warnings(files)...)
		report.compile(docs)
	}
	report.OK = len(report.Findings)+len(report.Conflicts) == 0
	return report, nil
}

// otherFindings checks a file that is no contract; false when the text is one. The
// kinds of file are told apart by a name that only they have.
func otherFindings(name string, body []byte) (finding.List, bool) {
	var text map[string]any
	if toml.Unmarshal(body, &text) != nil {
		return nil, false
	}
	has := func(key string) bool {
		_, ok := text[key]
		return ok
	}
	var findings finding.List
	switch {
	case has("listen"):
		_, findings = platform.ParseSettings(name, body)
	case has("ready_address"), has("directory_address"):
		_, findings = standalone.ParseSettings(name, body)
	case has("caller_address"):
		_, findings = settings.Parse(name, body)
	case has("routes"):
		_, findings = standalone.ParseDeployment(name, body)
	default:
		return nil, false
	}
	return findings, true
}

// compile checks what the documents say of each other. Services that none of them
// defines are faults only when some document defines services: else the file that
// does was not given.
func (r *checkReport) compile(docs []contract.Accepted) {
	snapshot := contract.Compile(1, docs)
	defines := slices.ContainsFunc(docs, func(d contract.Accepted) bool { return len(d.Document.Services) > 0 })
	for _, text := range snapshot.Conflicts {
		if !defines && slices.Contains(snapshot.UndefinedServices, text) {
			file, message, _ := strings.Cut(text, ": ")
			r.Warnings = append(r.Warnings, finding.Finding{File: file, Message: message})
			continue
		}
		r.Conflicts = append(r.Conflicts, text)
	}
}
