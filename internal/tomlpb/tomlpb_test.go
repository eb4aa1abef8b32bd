package tomlpb_test

import (
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

func TestFindings(t *testing.T) {
	tests := []struct {
		name, input string
		want        []string
	}{
		{"nothing", "", nil},
		{"syntax", "[[vms]]\nid = \n", []string{"f:2: "}},
		{"a duplicate key", "[[vms]]\nid = \"a\"\nid = \"b\"\n", []string{"f:3: "}},
		{"unknown keys", "one = 1\n\n[[vms]]\ntwo = 2\n", []string{"f:1: one: unknown setting", "f:4: vms[0].two: unknown setting"}},
		{"known keys are listed", "one = 1\n", []string{"known here: customers, services, vms"}},
		{"a table for a list", "[vms]\nid = \"a\"\n", []string{"f:1: vms: must be a list, not a table"}},
		{"a value for a table", "vms = [1]\n", []string{"f:1: vms[0]: must be a table, not a whole number"}},
		{"a number for a string", "[[vms]]\nid = 3\n", []string{"f:2: vms[0].id: must be a string, not a whole number"}},
		{"a date for a string", "[[vms]]\nid = 2026-12-02\n", []string{"must be a string, not a date or time"}},
		{"a string for a bool", "[[services]]\n[[services.upstreams]]\nleaving = \"no\"\n", []string{"f:3: services[0].upstreams[0].leaving: must be true or false, not a string"}},
		{"a fraction", "[[services]]\n[[services.upstreams]]\nslots = 1.5\n", []string{"f:3: services[0].upstreams[0].slots: must be a whole number, not a number"}},
		{"below the range", "[[services]]\n[[services.upstreams]]\nslots = -1\n", []string{"must be from 0 to 4294967295, not -1"}},
		{"above the range", "[[services]]\n[[services.upstreams]]\nslots = 4294967296\n", []string{"must be from 0 to 4294967295"}},
		{"not finite", "[[customers]]\n[[customers.kinds]]\nrate_per_second = inf\n", []string{"f:3: customers[0].kinds[0].rate_per_second: must be a finite number"}},
		{"an unknown enum value", "[[vms]]\nstate = \"alive\"\n", []string{"f:2: vms[0].state: must be one of live, vm_leaving, not \"alive\""}},
		{"the second element", "[[vms]]\nid = \"a\"\n[[vms]]\nid = 1\n", []string{"f:4: vms[1].id"}},
		{"a list over lines", "[[customers]]\ntoken_sha256 = [\n  \"a\",\n  2,\n]\n", []string{"f:4: customers[0].token_sha256[1]"}},
		{"an inline table", "vms = [{id = 1}]\n", []string{"f:1: vms[0].id"}},
		{"several findings", "[[vms]]\nid = 1\nregion = 2\nrack = 3\n", []string{"f:2", "f:3", "f:4"}},
		{"too large", strings.Repeat("#", tomlpb.MaxBytes+1), []string{"f: is 1048577 bytes long; at most 1048576 are allowed"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := tomlpb.Decode("f", []byte(tt.input), &pb.Document{}).Findings()
			if len(tt.want) == 0 && len(got) > 0 {
				t.Fatalf("unexpected findings:\n%s", got)
			}
			for _, want := range tt.want {
				if !strings.Contains(got.String(), want) {
					t.Errorf("%q is not in\n%s", want, got)
				}
			}
		})
	}
}

// TestPathologicalInputsAreBounded guards against a daemon that is busy for
// minutes or runs out of memory on one published value of permitted size. The
// value has very many small tables, keys with very many parts, or very many
// errors. The cost came from counting lines from the start for each key, storing
// each prefix of a long key, and keeping each finding.
func TestPathologicalInputsAreBounded(t *testing.T) {
	tests := []struct{ name, input string }{
		{"nested lists", "a = " + strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000)},
		{"nested tables", "a = " + strings.Repeat("{a=", 200_000) + "1" + strings.Repeat("}", 200_000)},
		{"a key of many parts", strings.Repeat("a.", 20_000) + "a = 1"},
		{"many elements", "vms = [" + strings.Repeat("1,", 500_000) + "]"},
		{"many tables", strings.Repeat("[[vms]]\nq=1\n", 80_000)},
		{"a long key", strings.Repeat("k", 1_000_000) + " = 1"},
		{"a long value", "[[vms]]\nstate = \"" + strings.Repeat("v", 1_000_000) + "\""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := tomlpb.Decode("f", []byte(tt.input), &pb.Document{}).Findings()
			if len(got) == 0 || len(got) > tomlpb.MaxFindings+1 {
				t.Errorf("%d findings", len(got))
			}
			if n := len(got.String()); n > 1<<18 {
				t.Errorf("the findings are %d bytes long", n)
			}
		})
	}
}
