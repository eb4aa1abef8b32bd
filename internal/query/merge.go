package query

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Hit is one found document.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	// Fields is the upstream's JSON, passed on as it came.
	Fields json.RawMessage `json:"fields,omitempty"`
}

// Hits is the JSON answer of an upstream.
type Hits struct {
	Hits []Hit `json:"hits"`
}

// DecodeHits reads an upstream's body. A body without the hits field is no
// answer: taken as an empty one it would count as coverage that was not given.
func DecodeHits(body []byte) ([]Hit, error) {
	var h Hits
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, trace.BadParameter("answer: %v", err)
	}
	if h.Hits == nil {
		if !bytes.Contains(body, []byte(`"hits"`)) {
			return nil, trace.BadParameter("answer: no hits field")
		}
		h.Hits = []Hit{}
	}
	return h.Hits, nil
}

// MergeHits makes one answer of the shards' hits, at most limit; 0 takes all.
// Equal scores come in the order of their ids, then of their shards, so that
// the same answers always give the same result.
func MergeHits(how pb.Merge, shards []ShardOutcome, limit int) []Hit {
	if how != pb.Merge_TOP_K {
		return concat(shards, limit)
	}
	if limit <= 0 {
		return sorted(shards)
	}
	return top(shards, limit)
}

func concat(shards []ShardOutcome, limit int) []Hit {
	all := make([]Hit, 0, bounded(count(shards), limit))
	for i := range shards {
		all = append(all, shards[i].Hits...)
		if limit > 0 && len(all) >= limit {
			return all[:limit]
		}
	}
	return all
}

func count(shards []ShardOutcome) int {
	n := 0
	for i := range shards {
		n += len(shards[i].Hits)
	}
	return n
}

func bounded(n, limit int) int {
	if limit > 0 {
		return min(n, limit)
	}
	return n
}

// ranked is a hit with its place: the shard, then the order within it.
type ranked struct {
	hit   *Hit
	place int
}

// compare puts the better one first.
func (r ranked) compare(o ranked) int {
	if r.hit.Score != o.hit.Score {
		return cmp.Compare(o.hit.Score, r.hit.Score)
	}
	if r.hit.ID != o.hit.ID {
		return cmp.Compare(r.hit.ID, o.hit.ID)
	}
	return cmp.Compare(r.place, o.place)
}

func sorted(shards []ShardOutcome) []Hit {
	list := make([]ranked, 0, count(shards))
	for i := range shards {
		for j := range shards[i].Hits {
			list = append(list, ranked{&shards[i].Hits[j], len(list)})
		}
	}
	return hitsOf(list)
}

// top keeps the best limit hits in a heap with the worst of them on top. Most
// hits of many shards are worse than that one and cost a single comparison.
func top(shards []ShardOutcome, limit int) []Hit {
	best := make(worstFirst, 0, min(limit, count(shards)))
	place := 0
	for i := range shards {
		for j := range shards[i].Hits {
			r := ranked{&shards[i].Hits[j], place}
			place++
			switch {
			case len(best) < limit:
				heap.Push(&best, r)
			case r.compare(best[0]) < 0:
				best[0] = r
				heap.Fix(&best, 0)
			}
		}
	}
	return hitsOf(best)
}

func hitsOf(list []ranked) []Hit {
	slices.SortFunc(list, ranked.compare)
	out := make([]Hit, len(list))
	for i := range list {
		out[i] = *list[i].hit
	}
	return out
}

type worstFirst []ranked

func (h worstFirst) Len() int           { return len(h) }
func (h worstFirst) Less(i, j int) bool { return h[i].compare(h[j]) > 0 }
func (h worstFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *worstFirst) Push(x any)        { *h = append(*h, x.(ranked)) }
func (h *worstFirst) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
