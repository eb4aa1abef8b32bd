package explain

import (
	"fmt"
	"strings"
	"testing"
)

// Symptom: bytes between regions are paid for, and nobody can say which part of the system
// sends them.
// Sequence: hundreds of VMs write a line each few seconds.
// Cause: they have to be added up by purpose and distance, and VMs that carry nobody told
// from those that do.
func TestFlows(t *testing.T) {
	line := func(vm, rest string) string {
		return fmt.Sprintf(`   5.0 x {"ts":"2026-01-01T00:00:01Z","msg":"node: traffic","vm":"%s",%s}`+"\n", vm, rest)
	}
	a := line("a", `"carrying":true,"part.data_centre":1000,"gossip.far":10`) + line("a", `"carrying":false,"gossip.far":5`)
	b := line("b", `"carrying":false,"gossip.far":7,"connections.region":2`) +
		`{"ts":"2026-01-01T00:00:01Z","msg":"edge: sent again","vm":"b","gossip.far":99}` + "\nno line of a log\n"
	flows, err := Flows(strings.NewReader(a), strings.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range flows {
		got = append(got, fmt.Sprintf("%v %s %s %d", f.Carrying, f.Purpose, f.Distance, f.Count))
	}
	want := "true part data_centre 1000\nfalse gossip far 12\ntrue gossip far 10\nfalse connections region 2"
	if strings.Join(got, "\n") != want {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), want)
	}
}
