package frontend

import (
	"bytes"
	"encoding/json"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Symptom: a daemon panics, or asks another shard than the upstream would.
// Sequence: a caller sends any bytes as its body.
// Cause: a body that two readers understand differently is passed on.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"query":"lease","limit":2}`, `{"key":"a"}`, `{"key":"a","key":"b"}`, `{"\u006bey":"a","key":"b"}`,
		`{"limit":-1}`, `{"limit":1e400}`, `{"limit":"2"}`, `{} {}`, `[]`, `null`, `{`, ``, `{"a":[[[[[[]]]]]]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, refused := readParameters(body)
		if refused != nil {
			if refused.Reason != refusal.BadRequest || refused.Ran != refusal.NotRun {
				t.Fatalf("refused as %v", refused)
			}
			return
		}
		if p.Limit < 0 || !json.Valid(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
			t.Fatalf("taken: %q as %v", body, p)
		}
		var again struct {
			Key *string `json:"key"`
		}
		if json.Unmarshal(body, &again) == nil && again.Key != nil && p.Key == "" && *again.Key != "" && bytes.Contains(body, []byte(`"key"`)) {
			t.Fatalf("key %q was not read from %q", *again.Key, body)
		}
	})
}
