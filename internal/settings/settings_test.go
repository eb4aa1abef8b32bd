package settings_test

import (
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/docs/examples"
	"sycamorekeel.example/sycamorekeel/internal/settings"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

const valid = `vm = "vm-1"
region = "r1"
data_centre = "d1"
caller_address = "10.0.0.1:1"
operator_address = "10.0.0.1:2"
peer_address = "10.0.0.1:3"
platform_address = "10.0.0.9:1"
seeds = ["10.0.0.2:3"]
[[peer_keys]]
id = "k1"
secret = "0123456789abcdef0123456789abcdef"
[limits]
max_queue = 10
[log]
level = "warn"
`

func TestParse(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"name", `"vm-1"`, `"VM 1"`, "f:1: vm: must be 1 to 63 of"},
		{"region left out", "region = \"r1\"\n", "", "f: region: must be 1 to 63 of"},
		{"data centre", `"d1"`, `""`, "f:3: data_centre: "},
		{"rack", "seeds", "rack = \"A B\"\nseeds", "f:8: rack: "},
		{"host name", "10.0.0.1:1", "localhost:1", "f:4: caller_address: must be an IP and port"},
		{"caller address for listening only", "10.0.0.1:1", "0.0.0.0:1", "f:4: caller_address: must be an address that others can connect to"},
		{"peer address for listening only", "10.0.0.1:3", "[::]:3", "f:6: peer_address: must be an address that others can connect to"},
		{"peer port 0", "10.0.0.1:3", "10.0.0.1:0", "f:6: peer_address: must be an address that others can connect to"},
		{"no port", "10.0.0.1:2", "10.0.0.1", "f:5: operator_address: must be an IP and port"},
		{"one address for two interfaces", "10.0.0.1:3", "10.0.0.1:1", "f:6: peer_address: must differ from caller_address"},
		{"platform left out", "platform_address = \"10.0.0.9:1\"\n", "", "platform_address: must be an IP and port"},
		{"second seed", `["10.0.0.2:3"]`, `["10.0.0.2:3", "x"]`, "f:8: seeds[1]: must be an IP and port"},
		{"operator token", "seeds", "operator_token_sha256 = \"secret\"\nseeds", "f:8: operator_token_sha256: must be 64 lower-case hex digits"},
		{"no key", "[[peer_keys]]\nid = \"k1\"\nsecret = \"0123456789abcdef0123456789abcdef\"\n", "", "peer_keys: must hold at least one key"},
		{"short secret", "0123456789abcdef0123456789abcdef", "0123", "f:11: peer_keys[0].secret: must have at least 32 characters"},
		{"key twice", "[limits]", "[[peer_keys]]\nid = \"k1\"\nsecret = \"0123456789abcdef0123456789abcdeX\"\n[limits]", `f:13: peer_keys[1].id: "k1" is used twice`},
		{"limit 0", "max_queue = 10", "max_queue = 0", "f:13: limits.max_queue: must be at least 1; leave it out for the default"},
		{"limit too high", "max_queue = 10", "max_queue = 1048577", "f:13: limits.max_queue: must be from 1 to 1048576"},
		{"memory too small", "max_queue = 10", "memory_mb = 31", "f:13: limits.memory_mb: must be from 32 to 16777216, not 31"},
		{"memory 0", "max_queue = 10", "memory_mb = 0", "f:13: limits.memory_mb: must be at least 1; leave it out for the default"},
		{"body above what the memory allows", "max_queue = 10", "memory_mb = 32\nmax_body_bytes = 4194304", "f:13: limits.memory_mb: allows bodies of 2883584 bytes, limits.max_body_bytes is 4194304"},
		{"unknown limit", "max_queue = 10", "max_cue = 10", "f:13: limits.max_cue: unknown setting"},
		{"level", `"warn"`, `"panic"`, `f:15: log.level: must be one of debug, info, warn, error, not "panic"`},
		{"routing", "seeds", "routing = \"both\"\nseeds", "f:8: routing: must be one of owner, direct"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(valid, tt.from) {
				t.Fatalf("%q is not in the settings", tt.from)
			}
			_, got := settings.Parse("f", []byte(strings.Replace(valid, tt.from, tt.to, 1)))
			if len(got) != 1 || !strings.Contains(got.String(), tt.want) {
				t.Errorf("want one finding with %q, got\n%s", tt.want, got)
			}
			if strings.Contains(got.String(), "0123") || strings.Contains(got.String(), "secret\"") {
				t.Errorf("a finding contains a secret:\n%s", got)
			}
		})
	}
	if _, got := settings.Parse("f", []byte(valid)); len(got) > 0 {
		t.Errorf("the valid settings have findings:\n%s", got)
	}
}

// FuzzParse checks that arbitrary bytes cause no panic and that the number of
// findings is bounded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	for _, user := range []string{"leasing", "wikiforos"} {
		body, err := examples.Files.ReadFile(user + "/sycamorekeeld.toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, findings := settings.Parse("f", body)
		if s == nil || len(findings) > tomlpb.MaxFindings+1 {
			t.Fatalf("%d findings", len(findings))
		}
	})
}
