package contract

import (
	"fmt"

	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

const (
	// fastestMS is about the least time of an answer that needs another region:
	// 3 ms from the caller and 12 ms between regions, each way.
	fastestMS = 30
	// farAbove is how many times the slots of a service its customers may fill
	// together before it is worth a warning: so many wait for each slot, then.
	farAbove = 16
)

// File is one document that passed Check, for warnings.
type File struct {
	Name     string
	Body     []byte
	Document *pb.Document
}

// Warnings tells what is permitted in these documents, taken together, but
// hardly meant. It never decides whether a document is accepted.
func Warnings(files []File) finding.List {
	r := newReview(files)
	var out finding.List
	for _, f := range files {
		out = append(out, r.file(f)...)
	}
	return out
}

// review knows what the files say of each other.
type review struct {
	services map[string]*pb.Service
	// demand is by service.
	demand map[string]demand
	// sites is the data centres that have VMs.
	sites map[string]bool
}

// demand is the concurrency of all customers at one service: of requests to one
// shard and of requests to all.
type demand struct{ single, scattered float64 }

// slots is what the demand takes at once over a number of shards.
func (d demand) slots(shards int) float64 {
	return d.single + d.scattered*float64(shards)
}

func newReview(files []File) *review {
	r := &review{services: map[string]*pb.Service{}, demand: map[string]demand{}, sites: map[string]bool{}}
	for _, f := range files {
		for _, s := range f.Document.Services {
			r.services[s.Name] = s
		}
		for _, v := range f.Document.Vms {
			r.sites[v.DataCentre] = true
		}
		for _, c := range f.Document.Customers {
			r.count(c)
		}
	}
	return r
}

func (r *review) count(c *pb.Customer) {
	for _, k := range c.Kinds {
		d := r.demand[k.Service]
		if k.Merge == pb.Merge_SINGLE {
			d.single += float64(k.Concurrency)
		} else {
			d.scattered += float64(k.Concurrency)
		}
		r.demand[k.Service] = d
	}
}

func (r *review) file(f File) finding.List {
	src := tomlpb.Locate(f.Name, f.Body)
	for i, c := range f.Document.Customers {
		for j, k := range c.Kinds {
			r.kind(src, fmt.Sprintf("customers[%d].kinds[%d]", i, j), k)
		}
	}
	for i, s := range f.Document.Services {
		r.service(src, fmt.Sprintf("services[%d]", i), s)
	}
	return src.Findings()
}

func (r *review) kind(src *tomlpb.Source, at string, k *pb.Kind) {
	if k.SoftDeadlineMs > 0 && k.CoverageFloor >= 1 {
		src.Addf(at+".soft_deadline_ms", "has no effect: with coverage_floor 1 no answer is given early")
	}
	if k.CoverageFloor == 0 {
		src.Addf(at+".coverage_floor", "is 0: an answer without any data counts as good")
	}
	if k.WaitForFull && k.CoverageFloor >= 1 {
		src.Addf(at+".wait_for_full", "has no effect: coverage_floor 1 waits anyway")
	}
	if k.Idempotent && k.HedgePercent == 0 && k.RetryPercent == 0 {
		src.Addf(at, "has neither hedges nor retries: one slow or lost upstream sets its latency and coverage")
	}
	if k.Merge == pb.Merge_SINGLE && k.MaxHits > 1 {
		src.Addf(at+".max_hits", "has no effect: merge single takes one shard's answer")
	}
	if k.DeadlineMs < fastestMS && r.spansSites(k.Service) {
		src.Addf(at+".deadline_ms", "is below %d ms, about the fastest answer that needs another region", fastestMS)
	}
}

func (r *review) spansSites(service string) bool {
	s := r.services[service]
	return s != nil && len(sitesOf(s.Upstreams)) > 1
}

func sitesOf(upstreams []*pb.Upstream) map[string]bool {
	out := map[string]bool{}
	for _, u := range upstreams {
		out[u.DataCentre] = true
	}
	return out
}

func (r *review) service(src *tomlpb.Source, at string, s *pb.Service) {
	slots := 0.0
	byID := map[string]*pb.Upstream{}
	for i, u := range s.Upstreams {
		byID[u.Id] = u
		slots += float64(u.Slots)
		if len(r.sites) > 0 && !r.sites[u.DataCentre] {
			src.Addf(fmt.Sprintf("%s.upstreams[%d].data_centre", at, i), "%q has no VM: each sub-request comes from another data centre", u.DataCentre)
		}
	}
	for i, m := range s.Maps {
		place := fmt.Sprintf("%s.maps[%d]", at, i)
		for j, shard := range m.Shards {
			r.shard(src, fmt.Sprintf("%s.shards[%d].replicas", place, j), shard, byID)
		}
		if want := r.demand[s.Name].slots(len(m.Shards)); want > farAbove*slots {
			src.Addf(at, "its customers may take %.0f slots at once over the %d shards of maps[%d]; its upstreams have %.0f", want, len(m.Shards), i, slots)
		}
	}
}

func (r *review) shard(src *tomlpb.Source, at string, shard *pb.Shard, byID map[string]*pb.Upstream) {
	var staying []*pb.Upstream
	for _, id := range shard.Replicas {
		if u := byID[id]; u != nil && !u.Leaving {
			staying = append(staying, u)
		}
	}
	switch {
	case len(staying) == 0:
		src.Addf(at, "names leaving upstreams alone: the shard goes missing")
	case len(staying) == 1:
		src.Addf(at, "has one upstream that stays: its loss is a loss of coverage")
	case len(sitesOf(staying)) == 1 && len(r.sites) > 1:
		src.Addf(at, "stands in one data centre alone")
	}
}
