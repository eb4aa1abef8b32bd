package contract

import (
	"fmt"

	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

const (
	// minCrossRegionMS approximates the shortest time of an answer that needs
	// another region: 3 ms from the caller and 12 ms between regions, each way.
	minCrossRegionMS = 30
	// maxDemandPerSlot limits the demand of all customers of a service, as a
	// multiple of its slots. Above it there is a warning, because that many
	// sub-requests compete for each slot.
	maxDemandPerSlot = 16
)

// File is one document that passed Check, with its name and source text.
type File struct {
	Name     string
	Body     []byte
	Document *pb.Document
}

// Warnings reports settings that are valid but probably unintended, considering
// all files together. Warnings do not affect whether a document is accepted.
func Warnings(files []File) finding.List {
	r := newReview(files)
	var out finding.List
	for _, f := range files {
		out = append(out, r.file(f)...)
	}
	return out
}

// review holds the data of all files that the warnings on one file depend on.
type review struct {
	services        map[string]*pb.Service
	demandByService map[string]demand
	// vmDataCentres is the set of data centres that have VMs.
	vmDataCentres map[string]bool
}

// demand is the total concurrency of all customers of one service: single counts
// requests to one shard, scattered counts requests to all shards.
type demand struct{ single, scattered float64 }

// slots returns how many upstream slots the demand can use at once, given the
// number of shards.
func (d demand) slots(shards int) float64 {
	return d.single + d.scattered*float64(shards)
}

func newReview(files []File) *review {
	r := &review{services: map[string]*pb.Service{}, demandByService: map[string]demand{}, vmDataCentres: map[string]bool{}}
	for _, f := range files {
		for _, s := range f.Document.Services {
			r.services[s.Name] = s
		}
		for _, v := range f.Document.Vms {
			r.vmDataCentres[v.DataCentre] = true
		}
		for _, c := range f.Document.Customers {
			r.addDemand(c)
		}
	}
	return r
}

func (r *review) addDemand(c *pb.Customer) {
	for _, k := range c.Kinds {
		d := r.demandByService[k.Service]
		if k.Merge == pb.Merge_SINGLE {
			d.single += float64(k.Concurrency)
		} else {
			d.scattered += float64(k.Concurrency)
		}
		r.demandByService[k.Service] = d
	}
}

func (r *review) file(f File) finding.List {
	src := tomlpb.NewSource(f.Name, f.Body)
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

func (r *review) kind(src *tomlpb.Source, field string, k *pb.Kind) {
	if k.SoftDeadlineMs > 0 && k.CoverageFloor >= 1 {
		src.Addf(field+".soft_deadline_ms", "has no effect: with coverage_floor 1 no answer is given early")
	}
	if k.CoverageFloor == 0 {
		src.Addf(field+".coverage_floor", "is 0: an answer without any data counts as good")
	}
	if k.WaitForFull && k.CoverageFloor >= 1 {
		src.Addf(field+".wait_for_full", "has no effect: coverage_floor 1 waits anyway")
	}
	if k.Idempotent && k.HedgePercent == 0 && k.RetryPercent == 0 {
		src.Addf(field, "has neither hedges nor retries: one slow or lost upstream sets its latency and coverage")
	}
	if k.Merge == pb.Merge_SINGLE && k.MaxHits > 1 {
		src.Addf(field+".max_hits", "has no effect: merge single returns the answer of one shard")
	}
	if k.DeadlineMs < minCrossRegionMS && r.spansDataCentres(k.Service) {
		src.Addf(field+".deadline_ms", "is below %d ms, about the fastest answer that needs another region", minCrossRegionMS)
	}
}

func (r *review) spansDataCentres(service string) bool {
	s := r.services[service]
	return s != nil && len(dataCentresOf(s.Upstreams)) > 1
}

func dataCentresOf(upstreams []*pb.Upstream) map[string]bool {
	out := map[string]bool{}
	for _, u := range upstreams {
		out[u.DataCentre] = true
	}
	return out
}

func (r *review) service(src *tomlpb.Source, field string, s *pb.Service) {
	slots := 0.0
	byID := map[string]*pb.Upstream{}
	for i, u := range s.Upstreams {
		byID[u.Id] = u
		slots += float64(u.Slots)
		if len(r.vmDataCentres) > 0 && !r.vmDataCentres[u.DataCentre] {
			src.Addf(fmt.Sprintf("%s.upstreams[%d].data_centre", field, i), "%q has no VM: each sub-request comes from another data centre", u.DataCentre)
		}
	}
	for i, m := range s.Maps {
		element := fmt.Sprintf("%s.maps[%d]", field, i)
		for j, shard := range m.Shards {
			r.shard(src, fmt.Sprintf("%s.shards[%d].replicas", element, j), shard, byID)
		}
		if want := r.demandByService[s.Name].slots(len(m.Shards)); want > maxDemandPerSlot*slots {
			src.Addf(field, "its customers may take %.0f slots at once over the %d shards of maps[%d]; its upstreams have %.0f", want, len(m.Shards), i, slots)
		}
	}
}

func (r *review) shard(src *tomlpb.Source, field string, shard *pb.Shard, byID map[string]*pb.Upstream) {
	var remaining []*pb.Upstream
	for _, id := range shard.Replicas {
		if u := byID[id]; u != nil && !u.Leaving {
			remaining = append(remaining, u)
		}
	}
	switch {
	case len(remaining) == 0:
		src.Addf(field, "names only upstreams that are leaving: answers will lack this shard")
	case len(remaining) == 1:
		src.Addf(field, "has only one upstream that is not leaving: its failure lowers coverage")
	case len(dataCentresOf(remaining)) == 1 && len(r.vmDataCentres) > 1:
		src.Addf(field, "all upstreams that are not leaving are in one data centre")
	}
}
