package contract_test

import (
	"fmt"
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/docs/examples"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

// valid is a complete, valid document; each test case changes one part of it.
const valid = `[[customers]]
name = "acme"
token_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
[[customers.kinds]]
name = "search"
service = "pages"
rate_per_second = 10
concurrency = 5
weight = 1
priority = "high"
deadline_ms = 300
soft_deadline_ms = 100
coverage_floor = 0.9
idempotent = true
hedge_percent = 5
retry_percent = 10
merge = "top_k"
max_hits = 10
[[services]]
name = "pages"
path = "/search"
[[services.upstreams]]
id = "u1"
address = "10.0.0.1:80"
data_centre = "d1"
slots = 5
connections = 40
[[services.upstreams]]
id = "u2"
address = "10.0.0.2:80"
data_centre = "d2"
slots = 5
connections = 40
[[services.maps]]
generation = 1
versions = [3, 4]
[[services.maps.shards]]
id = 1
documents = 10
replicas = ["u1", "u2"]
[[vms]]
id = "vm-1"
region = "r1"
data_centre = "d1"
rack = "k1"
caller_address = "10.1.0.1:1"
peer_address = "10.1.0.1:2"
state = "live"
[[vms]]
id = "vm-2"
region = "r2"
data_centre = "d2"
caller_address = "10.1.0.2:1"
peer_address = "10.1.0.2:2"
state = "vm_leaving"
`

// edit returns the valid document with the first occurrence of from replaced.
func edit(t *testing.T, from, to string) string {
	t.Helper()
	if !strings.Contains(valid, from) {
		t.Fatalf("%q is not in the document", from)
	}
	return strings.Replace(valid, from, to, 1)
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name, from, to string
		// want is a substring of the only finding, with its line and field.
		want string
	}{
		{"customer name", `"acme"`, `"Acme Ltd"`, "f:2: customers[0].name: must be 1 to 63 of"},
		{"no token", `token_sha256 = ["` + strings.Repeat("a", 64) + `"]`, "token_sha256 = []", "f:3: customers[0].token_sha256: must hold at least one hash"},
		{"token is not a hash", strings.Repeat("a", 64), "secret", "f:3: customers[0].token_sha256[0]: must be 64 lower-case hex digits"},
		{"token twice", `["` + strings.Repeat("a", 64) + `"]`, `["` + strings.Repeat("a", 64) + `", "` + strings.Repeat("a", 64) + `"]`, "f:3: customers[0].token_sha256[1]: "},
		{"no service", `service = "pages"`, `service = ""`, "f:6: customers[0].kinds[0].service: must name a service"},
		{"rate", "rate_per_second = 10", "rate_per_second = 0", "f:7: customers[0].kinds[0].rate_per_second: must be from 0.01 to 1e+06, not 0"},
		{"concurrency left out", "concurrency = 5\n", "", "customers[0].kinds[0].concurrency: must be from 1"},
		{"weight", "weight = 1", "weight = 1001", "f:9: customers[0].kinds[0].weight: must be from 1 to 1000"},
		{"priority", "priority = \"high\"\n", "", "customers[0].kinds[0].priority: must be set to low, normal or high"},
		{"deadline", "\ndeadline_ms = 300", "\ndeadline_ms = 600001", "f:11: customers[0].kinds[0].deadline_ms: must be from 1 to 600000"},
		{"soft deadline", "soft_deadline_ms = 100", "soft_deadline_ms = 300", "f:12: customers[0].kinds[0].soft_deadline_ms: must be below deadline_ms (300), not 300"},
		{"soft deadline with wait_for_full", "idempotent = true", "idempotent = true\nwait_for_full = true", "f:12: customers[0].kinds[0].soft_deadline_ms: cannot be combined with wait_for_full"},
		{"floor", "coverage_floor = 0.9", "coverage_floor = 1.1", "f:13: customers[0].kinds[0].coverage_floor: must be from 0 to 1, not 1.1"},
		{"hedges of a non-idempotent kind", "idempotent = true", "idempotent = false", "f:15: customers[0].kinds[0].hedge_percent: must be 0 for a non-idempotent kind"},
		{"retries", "retry_percent = 10", "retry_percent = 101", "f:16: customers[0].kinds[0].retry_percent: must be from 0 to 100"},
		{"merge", "merge = \"top_k\"\n", "", "customers[0].kinds[0].merge: must be set to top_k, concat or single"},
		{"hits", "max_hits = 10", "max_hits = 10001", "f:18: customers[0].kinds[0].max_hits: must be from 0 to 10000"},
		{"path", `"/search"`, `"search"`, "f:21: services[0].path: must be '/'"},
		{"path with a blank", `"/search"`, `"/a b"`, "f:21: services[0].path: must be '/'"},
		{"upstream id twice", "[[services.maps]]", "[[services.upstreams]]\nid = \"u1\"\naddress = \"10.0.0.3:80\"\ndata_centre = \"d1\"\nslots = 1\nconnections = 1\n[[services.maps]]", `f:35: services[0].upstreams[2].id: "u1" is already used by services[0].upstreams[0].id`},
		{"address", "10.0.0.1:80", "host:80", "f:24: services[0].upstreams[0].address: must be an IP and port"},
		{"port 0", "10.0.0.1:80", "10.0.0.1:0", "f:24: services[0].upstreams[0].address: must be an address that can be connected to"},
		{"address twice", "10.0.0.2:80", "10.0.0.1:80", `f:30: services[0].upstreams[1].address: "10.0.0.1:80" is already used by services[0].upstreams[0].address`},
		{"data centre", `data_centre = "d1"`, `data_centre = ""`, "f:25: services[0].upstreams[0].data_centre: must name a data centre"},
		{"slots", "slots = 5", "slots = 0", "f:26: services[0].upstreams[0].slots: must be from 1 to 10000"},
		{"connections below slots", "connections = 40", "connections = 4", "f:27: services[0].upstreams[0].connections: must be at least slots (5), not 4"},
		{"versions", "[3, 4]", "[4, 4]", "f:36: services[0].maps[0].versions[1]: must be above the one before it"},
		{"no version", "[3, 4]", "[]", "f:36: services[0].maps[0].versions: must hold at least one index version"},
		{"documents", "documents = 10", "documents = 0", "f:39: services[0].maps[0].shards[0].documents: must be from 1 to 1e+12"},
		{"documents overflow", "documents = 10", "documents = 9223372036854775807", "f:39: services[0].maps[0].shards[0].documents: must be from 1 to 1e+12"},
		{"no replica", `["u1", "u2"]`, "[]", "f:40: services[0].maps[0].shards[0].replicas: must name from 1 to 64 upstreams"},
		{"unknown replica", `["u1", "u2"]`, `["u1", "u3"]`, `f:40: services[0].maps[0].shards[0].replicas[1]: "u3" is not an upstream of this service`},
		{"replica twice", `["u1", "u2"]`, `["u1", "u1"]`, `f:40: services[0].maps[0].shards[0].replicas[1]: "u1" is named twice`},
		{"VM twice", `id = "vm-2"`, `id = "vm-1"`, `f:50: vms[1].id: "vm-1" is already used by vms[0].id`},
		{"region", `region = "r1"`, `region = "R 1"`, "f:43: vms[0].region: must name a region"},
		{"two regions", `data_centre = "d2"` + "\ncaller", `data_centre = "d1"` + "\ncaller", `f:51: vms[1].region: data centre "d1" is in region "r1" already, not in "r2"`},
		{"rack", `rack = "k1"`, `rack = "K 1"`, "f:45: vms[0].rack: must name a rack or be left out"},
		{"VM address", "10.1.0.1:1\"", "0.0.0.0:1\"", "f:46: vms[0].caller_address: must be an address that can be connected to"},
		{"one address for both", "10.1.0.1:2", "10.1.0.1:1", `f:47: vms[0].peer_address: "10.1.0.1:1" is already used by vms[0].caller_address`},
		{"state", "state = \"live\"\n", "", "vms[0].state: must be set to live or vm_leaving"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, got := contract.Check("f", []byte(edit(t, tt.from, tt.to)))
			if len(got) != 1 || !strings.Contains(got.String(), tt.want) {
				t.Errorf("want one finding with %q, got\n%s", tt.want, got)
			}
		})
	}
	if _, got := contract.Check("f", []byte(valid)); len(got) > 0 {
		t.Errorf("the valid document has findings:\n%s", got)
	}
}

func TestCheckReportsEverythingAtOnce(t *testing.T) {
	text := edit(t, "weight = 1", "weight = 0")
	text = strings.Replace(text, "slots = 5", "slots = 0", 1)
	text = strings.Replace(text, `state = "live"`, `state = "vm_leaving"`, 1)
	text = strings.Replace(text, `region = "r1"`, `region = ""`, 1)
	_, got := contract.Check("f", []byte(text))
	if len(got) != 3 {
		t.Errorf("%d findings:\n%s", len(got), got)
	}
}

func TestWarnings(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"floor 1 with a soft deadline", "coverage_floor = 0.9", "coverage_floor = 1", "f:12: customers[0].kinds[0].soft_deadline_ms: has no effect"},
		{"floor 0", "coverage_floor = 0.9", "coverage_floor = 0", "f:13: customers[0].kinds[0].coverage_floor: is 0"},
		{"no hedge, no retry", "hedge_percent = 5\nretry_percent = 10\n", "", "customers[0].kinds[0]: has neither hedges nor retries"},
		{"hits of a single answer", `merge = "top_k"`, `merge = "single"`, "f:18: customers[0].kinds[0].max_hits: has no effect"},
		{"deadline below the cross-region time", "deadline_ms = 300\nsoft_deadline_ms = 100", "deadline_ms = 20", "f:11: customers[0].kinds[0].deadline_ms: is below 30 ms"},
		{"concurrency far above the slots", "concurrency = 5", "concurrency = 500", "services[0]: its customers may take 500 slots at once over the 1 shards of maps[0]; its upstreams have 10"},
		{"one replica", `["u1", "u2"]`, `["u1"]`, "services[0].maps[0].shards[0].replicas: has only one upstream that is not leaving"},
		{"one data centre", "data_centre = \"d2\"\nslots", "data_centre = \"d1\"\nslots", "all upstreams that are not leaving are in one data centre"},
		{"one of two leaving", "slots = 5\nconnections = 40\n[[services.maps]]", "slots = 5\nconnections = 40\nleaving = true\n[[services.maps]]", "has only one upstream that is not leaving"},
		{"data centre without a VM", "data_centre = \"d2\"\nslots", "data_centre = \"d3\"\nslots", `f:31: services[0].upstreams[1].data_centre: "d3" has no VM`},
		{"wait_for_full at floor 1", "soft_deadline_ms = 100\ncoverage_floor = 0.9", "wait_for_full = true\ncoverage_floor = 1", "customers[0].kinds[0].wait_for_full: has no effect"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := []byte(edit(t, tt.from, tt.to))
			doc, findings := contract.Check("f", body)
			if len(findings) > 0 {
				t.Fatalf("the document is not valid:\n%s", findings)
			}
			got := contract.Warnings([]contract.File{{Name: "f", Body: body, Document: doc}})
			if len(got) != 1 || !strings.Contains(got.String(), tt.want) {
				t.Errorf("want one warning with %q, got\n%s", tt.want, got)
			}
		})
	}
	doc, _ := contract.Check("f", []byte(valid))
	if got := contract.Warnings([]contract.File{{Name: "f", Body: []byte(valid), Document: doc}}); len(got) > 0 {
		t.Errorf("the valid document has warnings:\n%s", got)
	}
}

func TestConflictsBetweenDocuments(t *testing.T) {
	const service = "[[services]]\nname = %q\npath = \"/\"\n[[services.upstreams]]\nid = \"u\"\naddress = %q\ndata_centre = \"d\"\nslots = 1\nconnections = 1\n" +
		"[[services.maps]]\nversions = [1]\n[[services.maps.shards]]\nid = 1\ndocuments = 1\nreplicas = [\"u\"]\n"
	customer := edit(t, "\n[[services]]", "\n#")
	customer = customer[:strings.Index(customer, "#")]
	tests := []struct {
		name string
		docs []string
		want string
	}{
		{"customer twice", []string{valid, customer}, "b: customer acme is already defined by another document"},
		{"service twice", []string{valid, fmt.Sprintf(service, "pages", "10.0.0.9:80")}, "b: service pages is already defined by another document"},
		{"address twice", []string{valid, fmt.Sprintf(service, "more", "10.0.0.1:80")}, "b: upstream more/u has the address 10.0.0.1:80 of pages/u1"},
		{"token twice", []string{valid, strings.Replace(customer, "acme", "other", 1)}, "b: customer other: a token hash is already used by another customer"},
		{"no such service", []string{customer}, "a: customer acme, kind search: service pages is not defined"},
		{"VM twice", []string{valid, valid[strings.Index(valid, "[[vms]]"):]}, "b: VM vm-1 is already defined by another document"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := compile(t, tt.docs, 0).Conflicts
			if len(got) == 0 || got[0] != tt.want {
				t.Errorf("got %q, want %q first", got, tt.want)
			}
		})
	}
}

// compile names the documents "a", "b" and so on and compiles them; shift
// rotates their revisions.
func compile(t *testing.T, docs []string, shift int) *contract.Snapshot {
	t.Helper()
	var accepted []contract.Accepted
	for i, text := range docs {
		name := string(rune('a' + i))
		doc, findings := contract.Check(name, []byte(text))
		if len(findings) > 0 {
			t.Fatal(findings)
		}
		rev := uint64((i+shift)%len(docs) + 1)
		accepted = append(accepted, contract.Accepted{Name: name, Revision: rev, Document: doc})
	}
	return contract.Compile(9, accepted)
}

// TestEditedDocumentKeepsPrecedenceOverCopy guards against an edit that has no
// effect. An operator copies a document under a second name, forgets the copy
// and later edits the original. If the older revision took precedence, the copy
// with the former contract would replace the edited original.
func TestEditedDocumentKeepsPrecedenceOverCopy(t *testing.T) {
	copied := strings.Replace(valid, "weight = 1", "weight = 9", 1)
	for shift := range 2 {
		s := compile(t, []string{valid, copied}, shift)
		c, _ := s.Customer("acme")
		if got := c.Kinds["search"].Weight; got != 1 {
			t.Errorf("shift %d: the weight is %d", shift, got)
		}
	}
}

// FuzzCheck checks that arbitrary bytes cause no panic, that the number and
// length of findings are bounded and that equal bytes give equal findings.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(valid))
	for _, user := range []string{"leasing", "wikiforos"} {
		for _, file := range []string{"customers", "services", "vms"} {
			body, err := examples.Files.ReadFile(user + "/" + file + ".toml")
			if err != nil {
				f.Fatal(err)
			}
			f.Add(body)
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		doc, findings := contract.Check("f", body)
		if len(findings) > tomlpb.MaxFindings+1 {
			t.Fatalf("%d findings", len(findings))
		}
		_, again := contract.Check("f", body)
		if findings.String() != again.String() {
			t.Fatalf("the same bytes gave different findings:\n%s\n%s", findings, again)
		}
		if len(findings) == 0 {
			contract.Warnings([]contract.File{{Name: "f", Body: body, Document: doc}})
			contract.Compile(1, []contract.Accepted{{Name: "f", Revision: 1, Document: doc}})
		}
	})
}
