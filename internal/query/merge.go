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

// Hit is one document that matches a query.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	// Fields is the upstream's JSON, passed on unchanged.
	Fields json.RawMessage `json:"fields,omitempty"`
}

// Hits is the JSON body of an upstream's answer.
type Hits struct {
	Hits []Hit `json:"hits"`
}

// DecodeHits decodes the body of an upstream's answer. A body without the hits field is
// an error: treating it as an empty answer would count the shard as covered.
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

// MergeHits merges the hits of the shards into one answer of at most limit hits; a
// limit of 0 returns all. Hits of equal score are ordered by id, then by shard, so that
// the same answers always give the same result.
func MergeHits(how pb.Merge, shards []ShardOutcome, limit int) []Hit {
	if how != pb.Merge_TOP_K {
		return concat(shards, limit)
	}
	if limit <= 0 {
		return allSorted(shards)
	}
	return topK(shards, limit)
}

func concat(shards []ShardOutcome, limit int) []Hit {
	all := make([]Hit, 0, clampToLimit(countHits(shards), limit))
	for i := range shards {
		all = append(all, shards[i].Hits...)
		if limit > 0 && len(all) >= limit {
			return all[:limit]
		}
	}
	return all
}

func countHits(shards []ShardOutcome) int {
	n := 0
	for i := range shards {
		n += len(shards[i].Hits)
	}
	return n
}

func clampToLimit(n, limit int) int {
	if limit > 0 {
		return min(n, limit)
	}
	return n
}

// rankedHit is a hit with its position in the concatenation of all shards' hits.
type rankedHit struct {
	hit      *Hit
	position int
}

// compare orders the better hit first.
func (r rankedHit) compare(o rankedHit) int {
	if r.hit.Score != o.hit.Score {
		return cmp.Compare(o.hit.Score, r.hit.Score)
	}
	if r.hit.ID != o.hit.ID {
		return cmp.Compare(r.hit.ID, o.hit.ID)
	}
	return cmp.Compare(r.position, o.position)
}

func allSorted(shards []ShardOutcome) []Hit {
	list := make([]rankedHit, 0, countHits(shards))
	for i := range shards {
		for j := range shards[i].Hits {
			list = append(list, rankedHit{&shards[i].Hits[j], len(list)})
		}
	}
	return sortHits(list)
}

// topK keeps the best limit hits in a heap with the worst of them at the top. In a
// query of many shards most hits are worse than that one and cost a single comparison.
func topK(shards []ShardOutcome, limit int) []Hit {
	best := make(worstOnTop, 0, min(limit, countHits(shards)))
	position := 0
	for i := range shards {
		for j := range shards[i].Hits {
			r := rankedHit{&shards[i].Hits[j], position}
			position++
			switch {
			case len(best) < limit:
				heap.Push(&best, r)
			case r.compare(best[0]) < 0:
				best[0] = r
				heap.Fix(&best, 0)
			}
		}
	}
	return sortHits(best)
}

func sortHits(list []rankedHit) []Hit {
	slices.SortFunc(list, rankedHit.compare)
	out := make([]Hit, len(list))
	for i := range list {
		out[i] = *list[i].hit
	}
	return out
}

type worstOnTop []rankedHit

func (h worstOnTop) Len() int           { return len(h) }
func (h worstOnTop) Less(i, j int) bool { return h[i].compare(h[j]) > 0 }
func (h worstOnTop) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *worstOnTop) Push(x any)        { *h = append(*h, x.(rankedHit)) }
func (h *worstOnTop) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
