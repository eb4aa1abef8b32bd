package daemon

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/config"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/platform"
)

const (
	configTick = 100 * time.Millisecond
	// configMail bounds the events that wait. More are dropped and counted;
	// what they told comes again with the next heartbeat or ask.
	configMail = 256
	// configPullIDs sets the ids of pulls apart from those of sub-requests,
	// which share the streams: a lost or late frame must not settle another's.
	configPullIDs = 1 << 63
)

// configSync drives a config.Syncer: one goroutine steps it, so that revisions
// come into force in order, and another makes the calls to the platform.
type configSync struct {
	d        *Daemon
	log      *zap.Logger
	met      *configMetrics
	platform *platform.Client
	syncer   *config.Syncer
	mail     chan configMessage
	reads    chan config.Read
	// view is the one the syncer knows.
	view   *membership.View
	status atomic.Pointer[configStatus]
}

// configMessage is an event, or a pull of a peer to be served.
type configMessage struct {
	event config.Event
	pull  *pb.ConfigPull
	reply func(*pb.Frame)
}

// configStatus is what other goroutines may read.
type configStatus struct {
	started   bool
	reader    bool
	revision  uint64
	digest    uint64
	confirmed time.Time
	failures  int
	reason    config.FailureReason
	rejected  []config.Rejected
}

func newConfigSync(d *Daemon) *configSync {
	now := time.Now()
	c := &configSync{
		d:        d,
		log:      d.log,
		met:      newConfigMetrics(d.registry),
		platform: platform.NewClient(d.settings.PlatformAddress),
		mail:     make(chan configMessage, configMail),
		reads:    make(chan config.Read, 1),
	}
	c.syncer = config.NewSyncer(now, config.Options{
		VM:         d.settings.Vm,
		DataCentre: d.settings.DataCentre,
		Address:    d.settings.PeerAddress,
		Seeds:      d.settings.Seeds,
		Random:     rand.New(rand.NewPCG(d.incarnation, uint64(now.UnixNano()))),
	})
	c.status.Store(&configStatus{confirmed: now})
	return c
}

// noteRevision takes in the revision that a peer's datagram claims.
func (d *Daemon) noteRevision(peerAddress string, revision uint64) {
	if revision > d.config.status.Load().revision {
		d.config.post(config.Heard{Address: peerAddress, Revision: revision})
	}
}

// post never blocks: it is called from the goroutines that read frames.
func (c *configSync) post(e config.Event) {
	c.send(configMessage{event: e})
}

func (c *configSync) send(m configMessage) {
	select {
	case c.mail <- m:
	default:
		c.met.dropped.Inc()
	}
}

// run steps the syncer until ctx ends.
func (c *configSync) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.platform.Close)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readPlatform(ctx)
	}()
	tick := time.NewTicker(configTick)
	defer tick.Stop()
	c.step(config.Tick{})
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case <-tick.C:
			c.step(config.Tick{})
		case m := <-c.mail:
			c.handle(m)
		}
		c.updatePeers()
	}
}

func (c *configSync) handle(m configMessage) {
	if m.pull != nil {
		c.answer(m.pull, m.reply)
		return
	}
	c.step(m.event)
}

func (c *configSync) step(e config.Event) {
	inForce := false
	for _, a := range c.syncer.Step(time.Now(), e) {
		switch a := a.(type) {
		case config.Read:
			c.reads <- a
		case config.Pull:
			c.pull(a)
		case config.Push:
			c.push(a)
		case config.PutInForce:
			inForce = true
		case config.Count:
			c.met.pulls.WithLabelValues(string(a.Event)).Inc()
		case config.CountFailure:
			c.met.failures.WithLabelValues(string(a.Reason)).Inc()
		}
	}
	if inForce {
		c.putInForce()
	}
	c.publish(inForce)
}

// putInForce compiles what the syncer holds and routes by it.
func (c *configSync) putInForce() {
	snap := c.syncer.State().Snapshot()
	c.log.Info("config: in force", zap.Uint64("revision", snap.Revision))
	c.d.putInForce(snap)
}

func (d *Daemon) putInForce(snap *contract.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot.Store(snap)
	d.shares.configure(snap)
	d.gossip.SetRevision(snap.Revision)
	view := d.gossip.SetList(snap.VMs())
	if current := d.view.Load(); view.Version < current.Version {
		view = current
	}
	d.apply(view, snap)
}

func (c *configSync) publish(changed bool) {
	old := c.status.Load()
	state := c.syncer.State()
	st := &configStatus{
		started:   c.syncer.Started(),
		reader:    c.syncer.Reader(),
		revision:  state.Revision(),
		digest:    state.Digest(),
		confirmed: c.syncer.Confirmed(),
		rejected:  old.rejected,
	}
	st.failures, st.reason = c.syncer.PlatformFailures()
	if changed {
		st.rejected = state.Rejected()
		c.logRejected(old.rejected, st.rejected)
	}
	c.status.Store(st)
	c.met.show(st)
}

func (c *configSync) logRejected(old, now []config.Rejected) {
	known := map[string]uint64{}
	for _, r := range old {
		known[r.Name] = r.Revision
	}
	for _, r := range now {
		if known[r.Name] == r.Revision {
			continue
		}
		c.met.rejected.Inc()
		c.log.Warn("config: a document was rejected, its former revision stays in force",
			zap.String("document", r.Name), zap.Uint64("revision", r.Revision), zap.Stringer("findings", r.Findings))
	}
}

// updatePeers tells the syncer of a new view.
func (c *configSync) updatePeers() {
	view := c.d.view.Load()
	if view == c.view {
		return
	}
	c.view = view
	var peers []config.Peer
	for _, m := range view.Serving() {
		if m.VM != c.d.settings.Vm {
			peers = append(peers, config.Peer{VM: m.VM, DataCentre: m.DataCentre, Address: m.PeerAddress})
		}
	}
	c.step(config.Peers{List: peers})
}

// readPlatform makes one call after the other.
func (c *configSync) readPlatform(ctx context.Context) {
	for {
		var read config.Read
		select {
		case <-ctx.Done():
			return
		case read = <-c.reads:
		}
		c.met.reads.Inc()
		event := c.read(read)
		select {
		case <-ctx.Done():
			return
		case c.mail <- configMessage{event: event}:
		}
	}
}

func (c *configSync) read(read config.Read) config.Event {
	page, err := c.platform.Changes(read.After, read.Wait)
	if err == nil {
		return config.Answered{Page: page}
	}
	reason := platform.ReasonOf(err)
	c.log.Warn("config: platform gave nothing", zap.Error(err))
	return config.Failed{Reason: reason}
}

func (c *configSync) pull(a config.Pull) {
	frame := &pb.Frame{Body: &pb.Frame_ConfigPull{ConfigPull: &pb.ConfigPull{
		Id:        a.ID | configPullIDs,
		After:     a.After,
		AfterName: a.AfterName,
		Held:      a.Held,
	}}}
	if !c.d.pool.Send(a.Address, frame) {
		c.post(config.PullLost{ID: a.ID})
	}
}

func (c *configSync) push(a config.Push) {
	frame := &pb.Frame{Body: &pb.Frame_ConfigDocuments{ConfigDocuments: c.documents(a.Page)}}
	for _, address := range a.Addresses {
		if c.d.pool.Send(address, frame) {
			c.met.pushes.Inc()
		}
	}
}

func (c *configSync) documents(p config.Page) *pb.ConfigDocuments {
	return &pb.ConfigDocuments{
		Revision:      p.Revision,
		Documents:     p.Documents,
		More:          p.More,
		After:         p.After,
		Digest:        p.Digest,
		PlatformAgeMs: milliseconds(c.syncer.PlatformAge(time.Now())),
	}
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func pageOf(m *pb.ConfigDocuments) config.Page {
	return config.Page{
		After:     m.After,
		Revision:  m.Revision,
		Documents: m.Documents,
		More:      m.More,
		Digest:    m.Digest,
	}
}

// answered takes the answer to a pull.
func (c *configSync) answered(m *pb.ConfigDocuments) {
	c.post(config.Pulled{
		ID:   m.Id &^ configPullIDs,
		Page: pageOf(m),
		Age:  time.Duration(m.PlatformAgeMs) * time.Millisecond,
	})
}

// lost ends a pull that gets no answer.
func (c *configSync) lost(id uint64) {
	c.post(config.PullLost{ID: id &^ configPullIDs})
}

// pushed takes a page that a peer sent unasked.
func (c *configSync) pushed(from *pb.Hello, m *pb.ConfigDocuments) {
	if member, ok := c.d.view.Load().Find(from.Vm); ok {
		c.post(config.Pushed{Address: member.PeerAddress, Page: pageOf(m)})
	}
}

// serve answers the pull of a peer. What the peer holds is news, too.
func (c *configSync) serve(from *pb.Hello, m *pb.ConfigPull, reply func(*pb.Frame)) {
	if member, ok := c.d.view.Load().Find(from.Vm); ok {
		c.d.noteRevision(member.PeerAddress, m.Held)
	}
	c.send(configMessage{pull: m, reply: reply})
}

func (c *configSync) answer(m *pb.ConfigPull, reply func(*pb.Frame)) {
	docs := c.documents(c.syncer.State().Since(m.After, m.AfterName))
	docs.Id = m.Id
	reply(&pb.Frame{Body: &pb.Frame_ConfigDocuments{ConfigDocuments: docs}})
	c.met.served.Inc()
}

// notReady says why the configuration may not be served by yet, or is empty.
func (c *configSync) notReady() string {
	st := c.status.Load()
	switch {
	case st.started:
		return ""
	case st.revision > 0:
		return "the configuration is not confirmed yet: peers have not been asked, or have not answered"
	case st.failures > 0:
		return "no configuration yet: the platform is " + string(st.reason) + " and no peer has given one"
	default:
		return "no configuration yet: neither the platform nor a peer has given one"
	}
}

// describe fills in the operators' view.
func (c *configSync) describe(out *operatorapi.Status) {
	st := c.status.Load()
	out.Rejected = st.rejected
	out.Platform = operatorapi.Platform{
		Reader:      st.reader,
		ConfirmedMS: time.Since(st.confirmed).Milliseconds(),
		Failures:    st.failures,
		Reason:      string(st.reason),
	}
	if st.failures == 0 {
		out.Platform.Reason = ""
	}
}

// configMetrics counts the traffic about the configuration.
type configMetrics struct {
	reads    prometheus.Counter
	failures *prometheus.CounterVec
	pulls    *prometheus.CounterVec
	pushes   prometheus.Counter
	served   prometheus.Counter
	dropped  prometheus.Counter
	rejected prometheus.Counter
	revision prometheus.Gauge
	reader   prometheus.Gauge
	age      prometheus.Gauge
}

func newConfigMetrics(r prometheus.Registerer) *configMetrics {
	f := promauto.With(r)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return f.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	m := &configMetrics{
		reads:    counter("sycamorekeel_config_platform_reads_total", "Reads and watches of the platform."),
		failures: f.NewCounterVec(prometheus.CounterOpts{Name: "sycamorekeel_config_platform_failures_total", Help: "Reads of the platform that brought nothing, by reason."}, []string{"reason"}),
		pulls:    f.NewCounterVec(prometheus.CounterOpts{Name: "sycamorekeel_config_pull_events_total", Help: "Pulls from peers that did not go as planned, by what happened."}, []string{"event"}),
		pushes:   counter("sycamorekeel_config_pushes_total", "Changes told to peers unasked."),
		served:   counter("sycamorekeel_config_pulls_served_total", "Pulls of peers answered."),
		dropped:  counter("sycamorekeel_config_events_dropped_total", "Events dropped because too many waited."),
		rejected: counter("sycamorekeel_config_rejected_total", "Revisions of documents that failed the check."),
		revision: gauge("sycamorekeel_config_revision", "Highest revision taken in."),
		reader:   gauge("sycamorekeel_config_reader", "1 while this VM watches the platform."),
		age:      gauge("sycamorekeel_config_confirmed_age_seconds", "Time since the platform last confirmed the configuration, here or at a peer."),
	}
	for _, reason := range config.FailureReasons {
		m.failures.WithLabelValues(string(reason))
	}
	for _, event := range config.CountedEvents {
		m.pulls.WithLabelValues(string(event))
	}
	return m
}

func (m *configMetrics) show(st *configStatus) {
	m.revision.Set(float64(st.revision))
	m.age.Set(time.Since(st.confirmed).Seconds())
	m.reader.Set(0)
	if st.reader {
		m.reader.Set(1)
	}
}
