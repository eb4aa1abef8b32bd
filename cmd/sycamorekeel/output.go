package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// output prints results as text or as JSON.
type output struct {
	json bool
	to   io.Writer
}

// print writes v as JSON, or calls text to write it for people.
func (o *output) print(v any, text func()) error {
	if !o.json {
		text()
		return nil
	}
	enc := json.NewEncoder(o.to)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (o *output) printf(format string, args ...any) {
	fmt.Fprintf(o.to, format, args...)
}
