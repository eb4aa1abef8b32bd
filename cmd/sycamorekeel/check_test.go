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

const platformSettings = `node_name = "a"
ip = "10.0.0.1"
zone = "z"
region = "r"
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[limits]
cpu_share = 0.4
memory_mb = 200
max_fds = 4000
[bounds]
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
retry_window_s = 10
ttl_max_s = 5
[platform]
addr = "10.0.0.2:1"
`

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
		{"companion missing", []string{customers}, false, 0, 0, 6},
		{"settings", []string{example(t, "leasing/sycamorekeeld.toml")}, false, 0, 0, 0},
		{"faulty settings", []string{strings.Replace(example(t, "leasing/sycamorekeeld.toml"), "vm =", "vn =", 1)}, true, 1, 0, 0},
		{"platform settings", []string{platformSettings}, false, 0, 0, 0},
		{"faulty platform settings", []string{strings.Replace(platformSettings, "grace_s = 6", "grace_s = 0", 1)}, true, 1, 0, 0},
		{"edge settings", []string{example(t, "edge/edge-1.toml")}, false, 0, 0, 0},
		{"faulty edge settings", []string{strings.Replace(example(t, "edge/edge-1.toml"), "vm =", "vn =", 1)}, true, 1, 0, 0},
		{"deployment", []string{example(t, "edge/deployment.toml")}, false, 0, 0, 0},
		{"faulty deployment", []string{strings.Replace(example(t, "edge/deployment.toml"), "version = 1", "version = 0", 1)}, true, 1, 0, 0},
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
