// Package finding represents the errors of an input, such as a settings file,
// with their locations. All errors are reported together, so that an operator can
// fix a file in one pass.
package finding

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Finding is one error in an input.
type Finding struct {
	// File is the name of the input.
	File string `json:"file"`
	// Line is the line number, from 1; 0 means that the finding has no line.
	Line int `json:"line"`
	// Field is the path of the field, such as customers[0].kinds[1].weight. It is
	// empty for a finding on the whole input.
	Field string `json:"field"`
	// Message describes the error and the valid values.
	Message string `json:"message"`
}

// String formats the finding as "file:line: field: message", without the line or
// the field if it has none.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Field != "" {
		b.WriteString(": " + f.Field)
	}
	return b.String() + ": " + f.Message
}

// List is a list of findings in one or more inputs.
type List []Finding

// Err returns nil for an empty list, otherwise a trace.BadParameter error with one
// line per finding.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return trace.BadParameter("%s", l.String())
}

// String formats the list with one finding per line.
func (l List) String() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
