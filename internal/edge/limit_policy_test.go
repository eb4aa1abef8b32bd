package edge

import (
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
)

// Guards against a low limit that nothing raises: outcomes of queries with few shards do not
// adjust it.
func TestQueriesOfFewShardsKeepTheUndividedLimit(t *testing.T) {
	e := &Engine{}
	e.shares.Store(&Shares{VMs: 12, IngressVMs: 12})
	v := &catalog.View{Services: map[string][]*catalog.Upstream{}}
	for _, shard := range []string{"a", "b", "c", "d"} {
		v.Services[shard] = []*catalog.Upstream{{Slots: 24}}
	}
	want := congestion.DefaultPolicy().WithSlots(24).InitialLimit
	if got := e.limitPolicy(v, []string{"a", "b"}).InitialLimit; got != want {
		t.Errorf("two shards begin with a limit of %v, want %v", got, want)
	}
	if got := e.limitPolicy(v, []string{"a", "b", "c", "d"}).InitialLimit; got >= want {
		t.Errorf("four shards begin with a limit of %v, want less than %v", got, want)
	}
}
