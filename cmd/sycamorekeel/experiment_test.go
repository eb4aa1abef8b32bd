package main

import (
	"bytes"
	"math"
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

func balanceOf(change func(*balanceCommand)) *balanceCommand {
	c := &balanceCommand{
		Patterns: []string{"quiet"}, Ways: []string{"standing"}, Seeds: []uint64{1},
		VMs: 2, Shards: 4, Copies: 3, Slots: 2, Busy: 0.05, Ratio: 0.2, Allowance: 50,
	}
	change(c)
	return c
}

// Each row is an option out of range and the place that the error names.
func TestBalanceOptions(t *testing.T) {
	for want, change := range map[string]func(*balanceCommand){
		"--pattern":   func(c *balanceCommand) { c.Patterns = []string{"quiet", "none such"} },
		"--way":       func(c *balanceCommand) { c.Ways = []string{"choice=none such"} },
		"--vms":       func(c *balanceCommand) { c.VMs = 0 },
		"--shards":    func(c *balanceCommand) { c.Shards = 401 },
		"--copies":    func(c *balanceCommand) { c.Copies = 0 },
		"--slots":     func(c *balanceCommand) { c.Slots = -1 },
		"--busy":      func(c *balanceCommand) { c.Busy = math.NaN() },
		"--ratio":     func(c *balanceCommand) { c.Ratio = 2 },
		"--allowance": func(c *balanceCommand) { c.Allowance = -1 },
	} {
		err := balanceOf(change).Run(&output{to: &bytes.Buffer{}})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestBalancePrintsAndPlots(t *testing.T) {
	path := filepath.Join(t.TempDir(), "balance.svg")
	var out bytes.Buffer
	c := balanceOf(func(c *balanceCommand) {
		c.Plot = path
		c.Patterns = []string{"quiet", "slow"}
		c.Ways = []string{"standing", "hedging=never"}
	})
	if err := c.Run(&output{to: &out}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 5 || !strings.Contains(lines[4], "hedging=never") {
		t.Errorf("%q", out.String())
	}
	if text, err := os.ReadFile(path); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("the plot: %v", err)
	}
}
