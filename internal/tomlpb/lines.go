package tomlpb

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// maxDepth bounds the parts of a key that are followed, and the nesting of
	// values; no schema is as deep.
	maxDepth = 16
	// maxLines bounds the places remembered. A field beyond them has the line
	// of its table.
	maxLines = 100_000
)

// lineIndex maps each field path to its line, following array tables by count.
type lineIndex struct {
	parser unstable.Parser
	// breaks is the offset of each line's end. The parser's own way to a line
	// counts from the start of the document for each key: a large document with
	// many small tables would keep a daemon busy for minutes.
	breaks []int
	lines  map[string]int
	// counts holds how often each array table was opened.
	counts map[string]int
	prefix string
}

// indexLines reads the places of a document that is known to be valid.
func indexLines(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, counts: map[string]int{}}
	for i, c := range data {
		if c == '\n' {
			x.breaks = append(x.breaks, i)
		}
	}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.lines
}

func (x *lineIndex) expression(e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		x.prefix, _ = x.path("", e.Key(), false)
	case unstable.ArrayTable:
		x.prefix, _ = x.path("", e.Key(), true)
	case unstable.KeyValue:
		x.keyValue(x.prefix, e, 0)
	}
}

func (x *lineIndex) keyValue(prefix string, e *unstable.Node, depth int) {
	path, line := x.path(prefix, e.Key(), false)
	x.value(path, line, e.Value(), depth)
}

func (x *lineIndex) value(path string, line int, v *unstable.Node, depth int) {
	if depth >= maxDepth {
		return
	}
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			x.keyValue(path, it.Node(), depth+1)
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next() && len(x.lines) < maxLines; i++ {
			at := fmt.Sprintf("%s[%d]", path, i)
			if raw := it.Node().Raw; raw.Length > 0 {
				line = x.line(int(raw.Offset))
			}
			x.set(at, line)
			x.value(at, line, it.Node(), depth+1)
		}
	}
}

// path resolves a dotted key below prefix; open starts a new element of the
// array table the key names.
func (x *lineIndex) path(prefix string, key unstable.Iterator, open bool) (string, int) {
	path, line := prefix, 0
	for depth := 0; key.Next() && depth < maxDepth; depth++ {
		node := key.Node()
		path = join(path, string(node.Data))
		line = x.line(int(node.Raw.Offset))
		if open && key.IsLast() {
			x.counts[path]++
		}
		if n := x.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		x.set(path, line)
	}
	return path, line
}

func (x *lineIndex) line(offset int) int {
	return 1 + sort.SearchInts(x.breaks, offset)
}

func (x *lineIndex) set(path string, line int) {
	if len(x.lines) >= maxLines {
		return
	}
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}
