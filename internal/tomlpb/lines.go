package tomlpb

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// maxDepth limits the parts of a dotted key and the nesting of values that are
	// indexed. No schema is that deep.
	maxDepth = 16
	// maxLines limits the number of indexed fields. Findings on further fields
	// give the line of the enclosing table.
	maxLines = 100_000
)

// lineIndex maps each field path to its line. The elements of an array table are
// numbered in the order in which they appear.
type lineIndex struct {
	parser unstable.Parser
	// newlines holds the offset of each newline. The parser's own line look-up
	// scans from the start of the document for each key, which takes minutes on a
	// large document with many small tables.
	newlines []int
	// lines maps a field path to the first line on which it appears.
	lines map[string]int
	// elements counts the elements of each array table so far.
	elements map[string]int
	// prefix is the path of the current table.
	prefix string
}

// indexLines returns the line of each field of a valid TOML document.
func indexLines(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, elements: map[string]int{}}
	for i, c := range data {
		if c == '\n' {
			x.newlines = append(x.newlines, i)
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
			element := fmt.Sprintf("%s[%d]", path, i)
			if raw := it.Node().Raw; raw.Length > 0 {
				line = x.line(int(raw.Offset))
			}
			x.record(element, line)
			x.value(element, line, it.Node(), depth+1)
		}
	}
}

// path returns the path and the line of a dotted key below prefix. If newElement
// is set, the key is the header of an array table and adds an element to it.
func (x *lineIndex) path(prefix string, key unstable.Iterator, newElement bool) (string, int) {
	path, line := prefix, 0
	for depth := 0; key.Next() && depth < maxDepth; depth++ {
		node := key.Node()
		path = joinPath(path, string(node.Data))
		line = x.line(int(node.Raw.Offset))
		if newElement && key.IsLast() {
			x.elements[path]++
		}
		if n := x.elements[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		x.record(path, line)
	}
	return path, line
}

// line returns the line, from 1, that contains the byte at offset.
func (x *lineIndex) line(offset int) int {
	return 1 + sort.SearchInts(x.newlines, offset)
}

// record stores the line of a path unless the path is known or the index full.
func (x *lineIndex) record(path string, line int) {
	if len(x.lines) >= maxLines {
		return
	}
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}
