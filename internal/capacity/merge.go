package capacity

import (
	"encoding/json"
	"fmt"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

// merge measures the decoding and the merge of one answer over all shards.
func (r *Report) merge() error {
	const limit = 50
	for _, hits := range []int{5, 20} {
		body, err := hitsBody(hits)
		if err != nil {
			return err
		}
		decode := measure(func() { _, _ = query.DecodeHits(body) })
		shards := make([]query.ShardOutcome, targetFanOut)
		for i := range shards {
			decoded, err := query.DecodeHits(body)
			if err != nil {
				return err
			}
			shards[i] = query.ShardOutcome{Shard: &contract.Shard{ID: uint32(i)}, Hits: decoded}
		}
		merge := measure(func() { query.MergeHits(pb.Merge_TOP_K, shards, limit) })
		size := fmt.Sprintf("%d shards, %d hits each", targetFanOut, hits)
		r.add("query", "decode all shards' hits", size, float64(targetFanOut)*float64(decode.time.Nanoseconds())/1000, "us/query")
		r.add("query", "merge the best 50", size, float64(merge.time.Nanoseconds())/1000, "us/query")
		r.add("query", "hits taken in", size, float64(targetFanOut*len(body))/1024, "KiB/query")
	}
	return nil
}

func hitsBody(n int) ([]byte, error) {
	var h query.Hits
	for i := range n {
		h.Hits = append(h.Hits, query.Hit{
			ID:     fmt.Sprintf("doc-%05d", i),
			Score:  1 / float64(i+1),
			Fields: json.RawMessage(`{"parcel":"F-1182","lessor":"Formosa Ridge"}`),
		})
	}
	return json.Marshal(h)
}
