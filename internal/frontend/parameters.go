package frontend

import (
	"bytes"
	"encoding/json"
	"io"

	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// parameters holds the fields of a request body that sycamorekeel interprets.
type parameters struct {
	// Key selects the shard for kinds that query a single shard.
	Key string
	// Limit is the maximum number of hits to return; 0 means no limit.
	Limit int
}

// readParameters parses a body, which must be exactly one JSON object.
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

// parameterError describes a violated rule for the body.
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
		// Reject duplicate members: this decoder uses the last and an upstream
		// may use the first, so the query could go to a shard that does not hold
		// the document.
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

// member decodes the value of one member and skips unknown ones.
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
