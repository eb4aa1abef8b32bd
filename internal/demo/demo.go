// Package demo shows the whole system at work on loopback: both users'
// deployments, every request kind, and the properties checked.
package demo

import (
	"fmt"
	"io/fs"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/docs/examples"
	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const seed = 11

// Options are the size of a demo.
type Options struct {
	VMs      int
	Requests int
}

// Run runs both deployments, one after the other.
func Run(opts Options) (*Report, error) {
	report := &Report{}
	users := []user{
		{name: "leasing", dcs: []string{"north-1", "central-1", "east-1"}},
		{name: "wikiforos", dcs: []string{"athens-1", "thessaloniki-1", "heraklion-1"}},
	}
	for _, u := range users {
		if err := u.run(opts, report); err != nil {
			return nil, trace.Wrap(err, "%s", u.name)
		}
	}
	return report, nil
}

type user struct {
	name string
	dcs  []string
}

func (u user) run(opts Options, report *Report) error {
	docs, err := u.documents()
	if err != nil {
		return err
	}
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   docs,
		VMs:         opts.VMs,
		DataCentres: u.dcs,
		Behaviour:   behaviour,
		Seed:        seed,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	r := &runner{fleet: f, report: report, user: u.name, requests: opts.Requests}
	return r.customers(docs["customers"])
}

func (u user) documents() (map[string]string, error) {
	docs := map[string]string{}
	for _, name := range []string{"customers", "services"} {
		data, err := fs.ReadFile(examples.Files, u.name+"/"+name+".toml")
		if err != nil {
			return nil, err
		}
		docs[name] = string(data)
	}
	return docs, nil
}

// behaviour makes every upstream answer in a few milliseconds and one replica
// of each service's first shard a straggler.
func behaviour(u *pb.Upstream, _ string) standin.Behaviour {
	b := standin.Behaviour{Median: 4 * time.Millisecond, Spread: 0.4, Slots: int(u.Slots), Hits: 5}
	if u.Id == "00a" {
		b.Slow = 20
	}
	return b
}

// runner sends one user's requests.
type runner struct {
	fleet    *fleet.Fleet
	report   *Report
	user     string
	requests int
	serial   int
}

func (r *runner) customers(text string) error {
	doc, findings := contract.Check("customers", []byte(text))
	if err := findings.Err(); err != nil {
		return err
	}
	for _, c := range doc.Customers {
		for _, k := range c.Kinds {
			if err := r.kind(c, k); err != nil {
				return err
			}
		}
	}
	return nil
}

// kind sends the kind's requests at half its contracted rate.
func (r *runner) kind(c *pb.Customer, k *pb.Kind) error {
	row := &Row{User: r.user, Customer: c.Name, Kind: k.Name, hist: hdrhistogram.New(1, 60_000_000, 3)}
	before := r.load()
	pause := time.Duration(float64(time.Second) / k.RatePerSecond * 2)
	n := r.requests
	if pause > 100*time.Millisecond {
		n = min(n, 5)
	}
	for i := 0; i <= n; i++ {
		if err := r.one(row, c, k, i == 0); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	after := r.load()
	row.finish(after.sub(before))
	r.report.Rows = append(r.report.Rows, row)
	return nil
}

func (r *runner) one(row *Row, c *pb.Customer, k *pb.Kind, show bool) error {
	r.serial++
	key := fmt.Sprintf("%s-%d", k.Name, r.serial)
	vm := r.fleet.VMs[r.serial%len(r.fleet.VMs)]
	start := time.Now()
	reply, err := send(vm.Settings.CallerAddress, c.Name+"-token", k.Name, key)
	if err != nil {
		return err
	}
	took := time.Since(start)
	_ = row.hist.RecordValue(took.Microseconds())
	row.add(reply, took)
	if show {
		r.report.First = append(r.report.First, describe(row, reply, took))
	}
	r.check(k, key, reply)
	return nil
}

// check looks for broken properties.
func (r *runner) check(k *pb.Kind, key string, reply *reply) {
	if reply.answer != nil {
		r.checkAnswer(k, reply)
	}
	if k.Idempotent {
		return
	}
	runs := 0
	for _, u := range r.fleet.Upstreams {
		runs += u.RunsOf(requestBody(key))
	}
	if runs > 1 {
		r.report.broken("%s %s ran %d times", k.Name, key, runs)
	}
	if reply.err != nil && reply.err.Ran == "not_run" && runs > 0 {
		r.report.broken("%s %s was said not to have run and ran", k.Name, key)
	}
}

func (r *runner) checkAnswer(k *pb.Kind, reply *reply) {
	cov := reply.answer.Coverage
	if cov.Fraction < k.CoverageFloor {
		r.report.broken("%s: coverage %.3f is below the floor %.3f", k.Name, cov.Fraction, k.CoverageFloor)
	}
	if cov.ShardsAnswered+len(cov.Missing) != cov.ShardsTotal {
		r.report.broken("%s: coverage does not add up", k.Name)
	}
}

// load is what the upstreams have done so far.
type load struct {
	served int64
}

func (r *runner) load() load {
	var l load
	for _, u := range r.fleet.Upstreams {
		l.served += u.Served()
	}
	return l
}

func (l load) sub(o load) load {
	return load{served: l.served - o.served}
}

// reply is an answer or a refusal.
type reply struct {
	answer *answer
	err    *callerapi.ErrorDetail
}

func requestBody(key string) string {
	return fmt.Sprintf(`{"query":"lease","key":%q}`, key)
}

func send(address, token, kind, key string) (*reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + callerapi.QueryPath + kind)
	req.Header.Set("Authorization", "Bearer "+token)
	req.SetBodyString(requestBody(key))
	if err := fasthttp.DoTimeout(req, resp, time.Minute); err != nil {
		return nil, trace.Wrap(err)
	}
	return readReply(resp)
}

// sortRows orders by user, customer and kind.
func sortRows(rows []*Row) {
	sort.SliceStable(rows, func(i, j int) bool {
		return strings.Compare(rows[i].User+rows[i].Customer+rows[i].Kind, rows[j].User+rows[j].Customer+rows[j].Kind) < 0
	})
}
