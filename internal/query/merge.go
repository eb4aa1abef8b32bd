package query

import (
	"encoding/json"
	"sort"

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

// MergeHits makes one answer of the shards' bodies, at most limit hits; 0 takes
// all. Shards without a body give nothing.
func MergeHits(how pb.Merge, shards []ShardOutcome, limit int) ([]Hit, error) {
	all := []Hit{}
	for _, s := range shards {
		if s.Body == nil {
			continue
		}
		var h Hits
		if err := json.Unmarshal(s.Body, &h); err != nil {
			return nil, trace.BadParameter("answer of shard %d: %v", s.Shard.ID, err)
		}
		all = append(all, h.Hits...)
	}
	if how == pb.Merge_TOP_K {
		sort.SliceStable(all, func(i, j int) bool { return better(all[i], all[j]) })
	}
	if limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	return all, nil
}

// better orders by score, then by id, so that equal scores always come alike.
func better(a, b Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return a.ID < b.ID
}
