package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/logring"
)

// beliefsBefore is how long before a request lines on what its VM believed are
// shown: longer than it takes a change to reach every VM.
const beliefsBefore = 10 * time.Second

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one log line of a daemon.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	// Request is empty for lines on what the VM believes.
	Request string
	// Fields holds the rest, sorted by name.
	Fields []Field
	// order is the line's place in its input: clocks may go back, a VM's own
	// lines do not.
	order int
}

// Field is one value of a line.
type Field struct{ Name, Value string }

// beliefs begin the messages on what a VM believes.
var beliefs = []string{"config: ", "gossip: ", "store: ", "peer: ", "node: ", "upstream: ", "log: "}

// Timeline reads logs of any number of VMs and gives the lines of one request
// with those on what the VMs that served it believed, in order. Lines of one VM
// stand in the order in which it wrote them, whatever its clock did. Text before
// the first brace of a line is passed over, and so are lines that are no JSON.
func Timeline(request string, logs ...io.Reader) ([]Line, error) {
	byVM := map[string][]Line{}
	err := scan(logs, func(order int, raw []byte) {
		if l, ok := parseLine(raw, order); ok {
			byVM[l.VM] = append(byVM[l.VM], l)
		}
	})
	if err != nil {
		return nil, err
	}
	var out []Line
	for _, lines := range byVM {
		out = append(out, concerning(request, lines)...)
	}
	if !slices.ContainsFunc(out, func(l Line) bool { return l.Request == request }) {
		return nil, trace.NotFound("no line of request %s", request)
	}
	sort.SliceStable(out, func(i, j int) bool { return before(&out[i], &out[j]) })
	return out, nil
}

// scan gives each line of the logs, numbered over all of them, from its first brace
// on; lines without one are passed over.
func scan(logs []io.Reader, each func(order int, raw []byte)) error {
	order := 0
	for _, log := range logs {
		sc := bufio.NewScanner(log)
		sc.Buffer(nil, maxLine)
		for sc.Scan() {
			order++
			if start := bytes.IndexByte(sc.Bytes(), '{'); start >= 0 {
				each(order, sc.Bytes()[start:])
			}
		}
		if err := sc.Err(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// before orders lines of one VM by their place and those of others by time.
func before(a, b *Line) bool {
	if a.VM == b.VM {
		return a.order < b.order
	}
	return a.Time.Before(b.Time)
}

// concerning is a VM's lines of the request and its beliefs up to its last one;
// none if it has no line of the request.
func concerning(request string, lines []Line) []Line {
	is := func(l Line) bool { return l.Request == request }
	first := slices.IndexFunc(lines, is)
	if first < 0 {
		return nil
	}
	about := concerns(request, lines)
	var out []Line
	for i, l := range lines {
		recent := i >= first || lines[first].Time.Sub(l.Time) <= beliefsBefore
		last := !slices.ContainsFunc(lines[i:], is)
		if is(l) || recent && !last && believes(l.Message) && about.matter(l) {
			out = append(out, l)
		}
	}
	return out
}

// subjects are the upstreams and services that the lines of a request name.
type subjects map[string]bool

// upstreamLines begin the messages on what an upstream counts as.
const upstreamLines = "upstream: "

func concerns(request string, lines []Line) subjects {
	out := subjects{}
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		for _, name := range []string{"upstream", "slowest_upstream", "service"} {
			if v := l.field(name); v != "" {
				out[v] = true
			}
		}
	}
	return out
}

// matter tells whether a line on a belief can have to do with the request. With
// hundreds of upstreams, most change their state for reasons of their own; a
// request that names none, as a refused one, may have to do with any.
func (s subjects) matter(l Line) bool {
	if len(s) == 0 || !strings.HasPrefix(l.Message, upstreamLines) {
		return true
	}
	return s[l.field("upstream")] || s[l.field("service")]
}

// field is a field's value, empty without it.
func (l *Line) field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

func believes(message string) bool {
	return slices.ContainsFunc(beliefs, func(p string) bool { return strings.HasPrefix(message, p) })
}

func parseLine(text []byte, order int) (Line, bool) {
	var fields map[string]any
	dec := json.NewDecoder(bytes.NewReader(text))
	// Revisions and incarnations are whole numbers of up to 64 bits.
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		return Line{}, false
	}
	l := Line{order: order}
	l.VM, _ = fields["vm"].(string)
	l.Message, _ = fields["msg"].(string)
	l.Request, _ = fields["request"].(string)
	if at, ok := fields["ts"].(string); ok {
		// A line whose time cannot be read keeps its place in its own log.
		l.Time, _ = time.Parse(logring.TimeLayout, at)
	}
	for _, k := range []string{"vm", "msg", "request", "ts", "level"} {
		delete(fields, k)
	}
	for name, value := range fields {
		l.Fields = append(l.Fields, Field{name, fmt.Sprint(value)})
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, l.VM != "" && l.Message != ""
}
