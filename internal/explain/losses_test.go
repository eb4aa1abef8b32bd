package explain

import (
	"fmt"
	"strings"
	"testing"
)

// endedLine is the line of a request that ended so many milliseconds into a second.
func endedLine(vm string, at int, rest string) string {
	return fmt.Sprintf(`   1.0 x {"ts":"2026-01-01T00:00:01.%03dZ","msg":"edge: request ended","vm":"%s",%s}`+"\n", at, vm, rest)
}

// Symptom: after a bad minute nobody can say what most of the loss was.
// Sequence: thousands of lines of many VMs tell of one request each.
// Cause: they have to be counted by when, how and where.
func TestLosses(t *testing.T) {
	a := endedLine("a", 10, `"request":"r1","reason":"","late":true,"age":300,"connect":100,"upstream":200,"budget_refusals":4,"sends":10`) +
		endedLine("a", 990, `"request":"r2","reason":"","late":true,"age":500,"connect":300,"held":200,"upstream":200,"budget_refusals":0,"sends":20`) +
		endedLine("a", 20, `"request":"r3","reason":"congested","late":false,"queued":50,"in_flight":7`) +
		endedLine("a", 30, `"request":"r4","reason":"","late":false,"missing":0`)
	b := endedLine("b", 40, `"request":"r5","reason":"","late":false,"missing":2`) +
		`{"ts":"2026-01-01T00:00:01Z","msg":"edge: sent again","vm":"b","request":"r5","cause":"hedge"}` + "\nno line of a log\n"
	losses, err := Losses(strings.NewReader(a), strings.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range losses {
		got = append(got, fmt.Sprintf("%s %s %d %s age=%g queued=%g connect=%g held=%g budget=%g sends=%g missing=%g in_flight=%g",
			l.Outcome, l.VM, l.Requests, l.Example, l.Stages.Age, l.Stages.Queued, l.Stages.Connect, l.Held, l.BudgetRefusals, l.Sends, l.Missing, l.InFlight))
	}
	want := []string{
		"congested a 1 r3 age=0 queued=50 connect=0 held=0 budget=0 sends=0 missing=0 in_flight=7",
		"late a 2 r1 age=400 queued=0 connect=200 held=100 budget=2 sends=15 missing=0 in_flight=0",
		"partial b 1 r5 age=0 queued=0 connect=0 held=0 budget=0 sends=0 missing=2 in_flight=0",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
