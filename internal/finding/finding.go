// Package finding collects everything that is wrong with an input, each with
// its place, so that an operator mends a file in one round.
package finding

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Finding is one fault of an input.
type Finding struct {
	// File is the name of the input.
	File string `json:"file"`
	// Line counts from 1; 0 means that the place is the whole input.
	Line int `json:"line"`
	// Field is the path of the setting, as in customers[0].kinds[1].weight.
	Field string `json:"field"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// String renders the finding as file:line: field: message.
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

// List is every finding of one or more inputs.
type List []Finding

// Err is nil for an empty list, else a trace.BadParameter error with one line a
// finding.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return trace.BadParameter("%s", l.String())
}

// String renders one finding a line.
func (l List) String() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
