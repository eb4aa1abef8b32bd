package tomlpb

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps each field path to its line, following array tables by count.
type lineIndex struct {
	parser unstable.Parser
	lines  map[string]int
	// counts holds how often each array table was opened.
	counts map[string]int
	prefix string
}

// indexLines reads the places of a document that is known to be valid.
func indexLines(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, counts: map[string]int{}}
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
		x.keyValue(x.prefix, e)
	}
}

func (x *lineIndex) keyValue(prefix string, e *unstable.Node) {
	path, line := x.path(prefix, e.Key(), false)
	x.value(path, line, e.Value())
}

func (x *lineIndex) value(path string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			x.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			at := fmt.Sprintf("%s[%d]", path, i)
			x.set(at, line)
			x.value(at, line, it.Node())
		}
	}
}

// path resolves a dotted key below prefix; open starts a new element of the
// array table the key names.
func (x *lineIndex) path(prefix string, key unstable.Iterator, open bool) (string, int) {
	path, line := prefix, 0
	for key.Next() {
		node := key.Node()
		path = join(path, string(node.Data))
		line = x.parser.Shape(node.Raw).Start.Line
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

func (x *lineIndex) set(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}
