package routing

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// table compiles routes that are each given as "host prefix".
func table(routes ...string) *Table {
	c := &Config{Version: 1}
	for _, p := range routes {
		host, prefix, _ := strings.Cut(p, " ")
		c.Routes = append(c.Routes, Route{Name: p, Host: host, Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}})
	}
	return Compile(c)
}

func TestLookup(t *testing.T) {
	tab := table("a.example /", "a.example /x/", "a.example /x/y/", "a.example /xy/", "b.example /x/")
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "a.example /x/y/"},
		{"a.example", "/x/yz", "a.example /x/"},
		{"a.example", "/x/", "a.example /x/"},
		{"a.example", "/x", "a.example /"},
		{"a.example", "/xy/1", "a.example /xy/"},
		{"A.Example:8080", "/x/y/", "a.example /x/y/"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := tab.Lookup(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Checks for arbitrary routes and paths that Lookup returns the same route as a linear
// search.
func TestLookupIsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "aa", "ab", "a0"})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		seen := map[string]bool{}
		var prefixes []string
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			p := path(fmt.Sprint("prefix", i))
			if !strings.HasSuffix(p, "/") {
				p += "/"
			}
			if !seen[p] {
				seen[p] = true
				prefixes = append(prefixes, "h "+p)
			}
		}
		requested := path("requested")
		want := ""
		for _, p := range prefixes {
			if prefix := p[2:]; strings.HasPrefix(requested, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if r := table(prefixes...).Lookup("h", requested); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("path %q, prefixes %q: got %q, want %q", requested, prefixes, got, want)
		}
	})
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 1}, {"none", 0}, {"b", 3}}}
	for point, want := range map[float64]string{0: "a", 0.24: "a", 0.26: "b", 0.999: "b"} {
		if got := r.Pick(point); got != want {
			t.Errorf("Pick(%v) = %s, want %s", point, got, want)
		}
	}
}

// Guards against limits on the sends of routes that share no shard with a route of another
// priority.
func TestSharedPriorities(t *testing.T) {
	query := func(priority int, shards ...string) Route { return Route{Priority: priority, Shards: shards} }
	tab := Compile(&Config{Routes: []Route{
		query(2, "a", "b"), query(0, "a", "b"), query(2, "a", "c"), query(1, "d"), query(1, "d"),
		{Priority: 0, Targets: []Target{{Service: "c", Weight: 1}}},
	}})
	for shard, want := range map[string]string{"a": "[0 2]", "b": "[0 2]", "c": "[]", "d": "[]", "e": "[]"} {
		if got := fmt.Sprint(tab.SharedPriorities(shard)); got != want {
			t.Errorf("%s: %s, want %s", shard, got, want)
		}
	}
}
