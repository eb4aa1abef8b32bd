package frontend

import (
	"encoding/json"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// FuzzParameters checks that a body is either refused as not run, or is one JSON
// object that encoding/json decodes to the same key.
func FuzzParameters(f *testing.F) {
	for _, body := range []string{
		`{"key":"royalty-17","limit":3,"query":{"a":[1,2,{"key":"x"}]}}`,
		`{}`, `{"key":"a","key":"b"}`, `{"limit":-1}`, `{"limit":1e3}`, `{"Key":"a"}`,
		`{"query":"lease","limit":2}`, `{"\u006bey":"a","key":"b"}`, `{"limit":1e400}`, `{"limit":"2"}`,
		`{} {}`, `{`, `{"a":[[[[[[]]]]]]}`,
		`[]`, `null`, ``, `{}{}`, `{"key":null}`, `{"a":1,}`, "{\"\xff\":1}", `{"key":"\ud800"}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := readParameters(body)
		if err != nil {
			if err.Reason != refusal.BadRequest || err.Ran != refusal.NotRun {
				t.Fatalf("%s", err)
			}
			return
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(body, &members); err != nil || members == nil || p.Limit < 0 {
			t.Fatalf("%q is accepted: %v", body, err)
		}
		var key string
		if raw, ok := members["key"]; ok {
			if err := json.Unmarshal(raw, &key); err != nil {
				t.Fatalf("%q: %v", body, err)
			}
		}
		if key != p.Key {
			t.Fatalf("%q: key %q, want %q", body, p.Key, key)
		}
	})
}
