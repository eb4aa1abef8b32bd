package explain

import (
	"strings"
	"testing"

	"github.com/gravitational/trace"
)

const logA = `   1.0 a {"level":"info","ts":"2026-01-01T00:00:01.000Z","msg":"config: view in force","vm":"a","revision":7}
   1.0 a {"level":"info","ts":"2025-12-31T23:59:30.000Z","msg":"gossip: member","vm":"a","member":"b"}
not json
{"level":"info","ts":"2026-01-01T00:00:05.000Z","msg":"edge: sent again","vm":"a","request":"r1","cause":"hedge"}
{"level":"info","ts":"2026-01-01T00:00:05.010Z","msg":"edge: sent again","vm":"a","request":"r2","cause":"hedge"}
{"level":"info","ts":"2026-01-01T00:00:02.000Z","msg":"edge: request ended","vm":"a","request":"r1","reason":"timed_out"}
{"level":"info","ts":"2026-01-01T00:00:06.000Z","msg":"config: view in force","vm":"a","revision":8}
`

const logB = `{"level":"info","ts":"2026-01-01T00:00:06.500Z","msg":"edge: request ended","vm":"b","request":"r1","reason":"gone"}
{"level":"info","ts":"2026-01-01T00:00:06.600Z","msg":"store: call failed","vm":"c"}
`

// Symptom: the order of what happened to a request is told wrong.
// Sequence: the VM's clock is set back while the request runs.
// Cause: lines were sorted by time alone.
func TestTimeline(t *testing.T) {
	lines, err := Timeline("r1", strings.NewReader(logB), strings.NewReader(logA))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range lines {
		got = append(got, l.VM+" "+l.Message)
	}
	want := "a config: view in force|a edge: sent again|a edge: request ended|b edge: request ended"
	if strings.Join(got, "|") != want {
		t.Errorf("\n got %s\nwant %s", strings.Join(got, "|"), want)
	}
	if f := lines[1].Fields; len(f) != 1 || f[0] != (Field{"cause", "hedge"}) {
		t.Errorf("fields %v", f)
	}
}

func TestTimelineOfAnUnknownRequest(t *testing.T) {
	if _, err := Timeline("r9", strings.NewReader(logA)); !trace.IsNotFound(err) {
		t.Errorf("%v", err)
	}
}

// Symptom: the time line of one late request is hundreds of lines long.
// Sequence: every upstream that was slow for a moment has a line; few of them were
// asked by the request.
// Cause: all that a VM believes was shown.
func TestTimelineLeavesOutOtherUpstreams(t *testing.T) {
	const log = `{"ts":"2026-01-01T00:00:01.000Z","msg":"upstream: state","vm":"a","upstream":"u1","service":"s1","is":"slow"}
{"ts":"2026-01-01T00:00:01.100Z","msg":"upstream: state","vm":"a","upstream":"u2","service":"s1","is":"slow"}
{"ts":"2026-01-01T00:00:01.200Z","msg":"upstream: state","vm":"a","upstream":"u3","service":"s2","is":"slow"}
{"ts":"2026-01-01T00:00:01.300Z","msg":"log: lines left out","vm":"a","class":"sample","count":3}
{"ts":"2026-01-01T00:00:02.000Z","msg":"edge: sent again","vm":"a","request":"r1","upstream":"u1","service":"s1"}
{"ts":"2026-01-01T00:00:02.100Z","msg":"edge: request ended","vm":"a","request":"r1","reason":"timed_out"}
{"ts":"2026-01-01T00:00:02.200Z","msg":"edge: request ended","vm":"a","request":"r2","reason":"congested"}
`
	for request, want := range map[string]int{"r1": 5, "r2": 5} {
		lines, err := Timeline(request, strings.NewReader(log))
		if err != nil {
			t.Fatal(err)
		}
		if len(lines) != want {
			t.Errorf("%s: %d lines, want %d: %v", request, len(lines), want, lines)
		}
	}
}
