package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func spreadOf(change func(*spreadCommand)) *spreadCommand {
	c := &spreadCommand{VMs: []int{9}, Seeds: []uint64{1}, Document: 1000, Gap: 200 * time.Millisecond, Length: leastLength, Bound: 5 * time.Second}
	change(c)
	return c
}

// Each row is an option out of range and the place that the error names.
func TestSpreadOptions(t *testing.T) {
	for want, change := range map[string]func(*spreadCommand){
		"--vms":      func(c *spreadCommand) { c.VMs = []int{9, 0} },
		"--document": func(c *spreadCommand) { c.Document = 0 },
		"--gap":      func(c *spreadCommand) { c.Gap = time.Millisecond },
		"--length":   func(c *spreadCommand) { c.Length = time.Second },
		"--bound":    func(c *spreadCommand) { c.Bound = 0 },
	} {
		err := spreadOf(change).Run(&output{to: &bytes.Buffer{}})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestSpreadPrintsAndPlots(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spread.svg")
	var out bytes.Buffer
	if err := spreadOf(func(c *spreadCommand) { c.Plot = path }).Run(&output{to: &out}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[1], "9") {
		t.Errorf("%q", out.String())
	}
	if text, err := os.ReadFile(path); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("the plot: %v", err)
	}
}
