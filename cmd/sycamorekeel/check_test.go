package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/docs/examples"
)

func TestCheckCommand(t *testing.T) {
	services := example(t, "leasing/services.toml")
	customers := example(t, "leasing/customers.toml")
	tests := []struct {
		name  string
		files []string
		// fails is exit status 1.
		fails                         bool
		findings, conflicts, warnings int
	}{
		{"good", []string{services, customers}, false, 0, 0, 0},
		{"findings", []string{services, strings.ReplaceAll(customers, "weight = 4", "weight = 0")}, true, 2, 0, 0},
		{"not TOML", []string{"["}, true, 1, 0, 0},
		{"conflict", []string{services, services}, true, 0, 4, 0},
		{"warning", []string{services, strings.ReplaceAll(customers, "concurrency = 60", "concurrency = 60000")}, false, 0, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := &checkCommand{}
			for i, text := range tt.files {
				path := filepath.Join(t.TempDir(), string(rune('a'+i))+".toml")
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				cmd.Files = append(cmd.Files, path)
			}
			var buf bytes.Buffer
			err := cmd.Run(&output{json: true, to: &buf})
			if (err != nil) != tt.fails {
				t.Errorf("error %v", err)
			}
			var report checkReport
			if err := json.Unmarshal(buf.Bytes(), &report); err != nil {
				t.Fatalf("the output is not JSON: %v", err)
			}
			if report.OK == tt.fails || len(report.Findings) != tt.findings || len(report.Conflicts) != tt.conflicts || len(report.Warnings) != tt.warnings {
				t.Errorf("%s", buf.String())
			}
		})
	}
}

func example(t *testing.T, name string) string {
	t.Helper()
	body, err := examples.Files.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
