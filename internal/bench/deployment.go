package bench

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// Names in the deployment.
const (
	scanService = "scan"
	payService  = "pay"
	// scanKind asks every shard; payKind asks one and must run at most once.
	scanKind = "scan"
	payKind  = "pay"
)

var dataCentres = []string{"north-1", "central-1", "east-1"}

// deployment is the size of what a scenario runs on.
type deployment struct {
	vms       int
	shards    int
	replicas  int
	slots     int
	conns     int
	median    time.Duration
	spread    float64
	deadline  time.Duration
	floor     float64
	customers []customer
}

// customer is one contract: the rates are of the whole system.
type customer struct {
	name             string
	scanRate         float64
	payRate          float64
	concurrency      int
	weight           int
	hedge, retryPart float64
}

func ordinary() deployment {
	return deployment{
		vms:      3,
		shards:   10,
		replicas: 3,
		slots:    5,
		conns:    40,
		median:   4 * time.Millisecond,
		spread:   0.4,
		deadline: 800 * time.Millisecond,
		floor:    0.8,
		customers: []customer{
			{name: "blue", scanRate: 100, payRate: 40, concurrency: 100, weight: 2, hedge: 5, retryPart: 10},
			{name: "green", scanRate: 100, payRate: 40, concurrency: 100, weight: 2, hedge: 5, retryPart: 10},
		},
	}
}

// state is what of a service is published.
type state struct {
	maps    []shardMap
	leaving map[string]bool
}

type shardMap struct {
	generation uint32
	shards     int
	versions   []uint64
}

func (d *deployment) initial() state {
	return state{maps: []shardMap{{generation: 1, shards: d.shards, versions: []uint64{1}}}, leaving: map[string]bool{}}
}

func upstreamName(shard, replica int) string { return fmt.Sprintf("%02d%c", shard, 'a'+replica) }

func upstreamID(service string, shard, replica int) string {
	return service + "/" + upstreamName(shard, replica)
}

// services is the document of a service; address finds the address of an id.
func (d *deployment) service(name string, st state, address func(id string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[services]]\nname = %q\npath = \"/%s\"\n", name, name)
	for s := range d.shards {
		for r := range d.replicas {
			id := upstreamName(s, r)
			fmt.Fprintf(&b, "[[services.upstreams]]\nid = %q\naddress = %q\ndata_centre = %q\nslots = %d\nconnections = %d\nleaving = %v\n",
				id, address(name+"/"+id), dataCentres[(s+r)%len(dataCentres)], d.slots, d.conns, st.leaving[id])
		}
	}
	for _, m := range st.maps {
		d.shardMap(&b, m)
	}
	return b.String()
}

// shardMap puts the shards of a map on the upstreams in turn: a repartition has
// fewer shards than upstream groups.
func (d *deployment) shardMap(b *strings.Builder, m shardMap) {
	versions := make([]string, len(m.versions))
	for i, v := range m.versions {
		versions[i] = fmt.Sprint(v)
	}
	fmt.Fprintf(b, "[[services.maps]]\ngeneration = %d\nversions = [%s]\n", m.generation, strings.Join(versions, ", "))
	for s := range m.shards {
		replicas := make([]string, d.replicas)
		for r := range replicas {
			replicas[r] = fmt.Sprintf("%q", upstreamName(s, r))
		}
		fmt.Fprintf(b, "[[services.maps.shards]]\nid = %d\ndocuments = %d\nreplicas = [%s]\n", s, 1000+s, strings.Join(replicas, ", "))
	}
}

func (d *deployment) contracts() string {
	var b strings.Builder
	for _, c := range d.customers {
		sum := sha256.Sum256([]byte(token(c.name)))
		fmt.Fprintf(&b, "[[customers]]\nname = %q\ntoken_sha256 = [\"%x\"]\n", c.name, sum)
		fmt.Fprintf(&b, "[[customers.kinds]]\nname = %q\nservice = %q\nrate_per_second = %g\nconcurrency = %d\nweight = %d\npriority = \"normal\"\n"+
			"deadline_ms = %d\ncoverage_floor = %g\nwait_for_full = true\nidempotent = true\nhedge_percent = %g\nretry_percent = %g\nmerge = \"concat\"\n",
			scanKind, scanService, c.scanRate, c.concurrency, c.weight, d.deadline.Milliseconds(), d.floor, c.hedge, c.retryPart)
		if c.payRate > 0 {
			fmt.Fprintf(&b, "[[customers.kinds]]\nname = %q\nservice = %q\nrate_per_second = %g\nconcurrency = %d\nweight = %d\npriority = \"normal\"\n"+
				"deadline_ms = %d\ncoverage_floor = 1\nidempotent = false\nhedge_percent = 0\nretry_percent = %g\nmerge = \"single\"\n",
				payKind, payService, c.payRate, c.concurrency, c.weight, d.deadline.Milliseconds(), c.retryPart)
		}
	}
	return b.String()
}

// placeholder is an address that the fleet replaces by a stand-in's.
func (d *deployment) placeholder() func(id string) string {
	n := 0
	return func(string) string {
		n++
		return fmt.Sprintf("10.99.%d.%d:80", n/250, 1+n%250)
	}
}

func (d *deployment) documents() map[string]string {
	address := d.placeholder()
	return map[string]string{
		"customers": d.contracts(),
		scanService: d.service(scanService, d.initial(), address),
		payService:  d.service(payService, d.initial(), address),
	}
}

func (d *deployment) behaviour(u *pb.Upstream, _ string) standin.Behaviour {
	return standin.Behaviour{
		Median:    d.median,
		Spread:    d.spread,
		Slots:     int(u.Slots),
		Hits:      2,
		Snapshots: []string{"1/1"},
	}
}
