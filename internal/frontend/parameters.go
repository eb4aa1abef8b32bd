package frontend

import (
	"bytes"
	"encoding/json"
	"io"

	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// parameters are the fields of a body that sycamorekeel itself reads.
type parameters struct {
	// Key chooses the shard of a kind that asks a single one.
	Key string
	// Limit is the most hits wanted.
	Limit int
}

// readParameters reads a body, which must be one JSON object.
func readParameters(body []byte) (parameters, *refusal.Error) {
	var p parameters
	if err := p.read(json.NewDecoder(bytes.NewReader(body))); err != nil {
		return p, refusal.New(refusal.BadRequest, "body: "+err.Error())
	}
	if p.Limit < 0 {
		return p, refusal.New(refusal.BadRequest, "body: limit must not be negative")
	}
	return p, nil
}

type parameterError string

func (e parameterError) Error() string { return string(e) }

func (p *parameters) read(dec *json.Decoder) error {
	if t, err := dec.Token(); err != nil {
		return err
	} else if t != json.Delim('{') {
		return parameterError("must be a JSON object")
	}
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		// Of two members with one name this reader would take the last and an
		// upstream may take the first: the shard that is asked would not hold
		// the document that is looked for.
		if seen[name] {
			return parameterError("member \"" + name + "\" stands twice")
		}
		seen[name] = true
		if err := p.member(dec, name); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return parameterError("nothing may follow the object")
	}
	return nil
}

func (p *parameters) member(dec *json.Decoder, name string) error {
	switch name {
	case "key":
		return dec.Decode(&p.Key)
	case "limit":
		return dec.Decode(&p.Limit)
	default:
		var skipped json.RawMessage
		return dec.Decode(&skipped)
	}
}
