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
	configTickInterval = 100 * time.Millisecond
	// configQueueSize is the size of the event queue. Events beyond it are dropped and
	// counted; the next heartbeat or pull carries the same information.
	configQueueSize = 256
	// configPullIDBit is the bit that is set in the ids of pulls. Sub-requests use the
	// same streams, and a lost or late frame of one must not end the other.
	configPullIDBit = 1 << 63
)

// configSync drives a config.Syncer. One goroutine steps it, so that revisions are
// applied in order, and another one calls the platform.
type configSync struct {
	d        *Daemon
	log      *zap.Logger
	metrics  *configMetrics
	platform *platform.Client
	syncer   *config.Syncer
	queue    chan configMessage
	reads    chan config.Read
	// view is the last one passed to the syncer.
	view   *membership.View
	status atomic.Pointer[configStatus]
}

// configMessage is an event for the syncer, or a peer's pull request if pull is set.
type configMessage struct {
	event config.Event
	pull  *pb.ConfigPull
	reply func(*pb.Frame)
}

// configStatus is a copy of the syncer's state for other goroutines.
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
		metrics:  newConfigMetrics(d.registry),
		platform: platform.NewClient(d.settings.PlatformAddress),
		queue:    make(chan configMessage, configQueueSize),
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

// noteRevision notifies the syncer if a peer claims a revision that is newer than the
// one held here.
func (d *Daemon) noteRevision(peerAddress string, revision uint64) {
	if revision > d.config.status.Load().revision {
		d.config.post(config.RevisionClaimed{Address: peerAddress, Revision: revision})
	}
}

// post queues an event. It never blocks, because the goroutines that read frames
// call it.
func (c *configSync) post(e config.Event) {
	c.send(configMessage{event: e})
}

// send queues a message, or drops and counts it if the queue is full.
func (c *configSync) send(m configMessage) {
	select {
	case c.queue <- m:
	default:
		c.metrics.dropped.Inc()
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
	tick := time.NewTicker(configTickInterval)
	defer tick.Stop()
	c.step(config.Tick{})
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case <-tick.C:
			c.step(config.Tick{})
		case m := <-c.queue:
			c.handle(m)
		}
		c.updatePeers()
	}
}

func (c *configSync) handle(m configMessage) {
	if m.pull != nil {
		c.answerPull(m.pull, m.reply)
		return
	}
	c.step(m.event)
}

// step passes an event to the syncer and executes the actions that it returns.
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
		case config.StateChanged:
			inForce = true
		case config.CountPull:
			c.metrics.pulls.WithLabelValues(string(a.Event)).Inc()
		case config.CountReadFailure:
			c.metrics.failures.WithLabelValues(string(a.Reason)).Inc()
		}
	}
	if inForce {
		c.putInForce()
	}
	c.publish(inForce)
}

// putInForce compiles the syncer's documents and applies the resulting snapshot.
func (c *configSync) putInForce() {
	snap := c.syncer.State().Snapshot()
	c.log.Info("config: in force", zap.Uint64("revision", snap.Revision))
	c.d.putInForce(snap)
}

// putInForce applies a snapshot to shares, gossip and routing.
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

// publish updates the status and the metrics from the syncer. changed means that new
// documents are in force.
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
	c.metrics.update(st)
}

// logRejected logs and counts the rejected documents of now that are not in old.
func (c *configSync) logRejected(old, now []config.Rejected) {
	known := map[string]uint64{}
	for _, r := range old {
		known[r.Name] = r.Revision
	}
	for _, r := range now {
		if known[r.Name] == r.Revision {
			continue
		}
		c.metrics.rejected.Inc()
		c.log.Warn("config: a document was rejected, its former revision stays in force",
			zap.String("document", r.Name), zap.Uint64("revision", r.Revision), zap.Stringer("findings", r.Findings))
	}
}

// updatePeers passes the serving peers to the syncer if the view has changed.
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

// readPlatform executes the requested reads of the platform, one at a time.
func (c *configSync) readPlatform(ctx context.Context) {
	for {
		var read config.Read
		select {
		case <-ctx.Done():
			return
		case read = <-c.reads:
		}
		c.metrics.reads.Inc()
		event := c.read(read)
		select {
		case <-ctx.Done():
			return
		case c.queue <- configMessage{event: event}:
		}
	}
}

func (c *configSync) read(read config.Read) config.Event {
	page, err := c.platform.Changes(read.After, read.Wait)
	if err == nil {
		return config.ReadCompleted{Page: page}
	}
	reason := platform.ReasonOf(err)
	c.log.Warn("config: read of the platform failed", zap.Error(err))
	return config.ReadFailed{Reason: reason}
}

// pull requests documents from a peer.
func (c *configSync) pull(a config.Pull) {
	frame := &pb.Frame{Body: &pb.Frame_ConfigPull{ConfigPull: &pb.ConfigPull{
		Id:        a.ID | configPullIDBit,
		After:     a.After,
		AfterName: a.AfterName,
		Held:      a.Held,
	}}}
	if !c.d.pool.Send(a.Address, frame) {
		c.post(config.PullLost{ID: a.ID})
	}
}

// push sends a page to peers without a request.
func (c *configSync) push(a config.Push) {
	frame := &pb.Frame{Body: &pb.Frame_ConfigDocuments{ConfigDocuments: c.documents(a.Page)}}
	for _, address := range a.Addresses {
		if c.d.pool.Send(address, frame) {
			c.metrics.pushes.Inc()
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

// milliseconds converts d to milliseconds, clamped to the range of uint32.
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

// handlePullReply handles the answer to a pull.
func (c *configSync) handlePullReply(m *pb.ConfigDocuments) {
	c.post(config.Pulled{
		ID:   m.Id &^ configPullIDBit,
		Page: pageOf(m),
		Age:  time.Duration(m.PlatformAgeMs) * time.Millisecond,
	})
}

// handlePullLost handles the loss of a pull or of its answer.
func (c *configSync) handlePullLost(id uint64) {
	c.post(config.PullLost{ID: id &^ configPullIDBit})
}

// handlePush handles a page that a peer sent without a request.
func (c *configSync) handlePush(from *pb.Hello, m *pb.ConfigDocuments) {
	if member, ok := c.d.view.Load().Find(from.Vm); ok {
		c.post(config.Pushed{Address: member.PeerAddress, Page: pageOf(m)})
	}
}

// handlePull queues a peer's pull. The pull also carries the revision that the peer holds,
// which may be newer than this VM's.
func (c *configSync) handlePull(from *pb.Hello, m *pb.ConfigPull, reply func(*pb.Frame)) {
	if member, ok := c.d.view.Load().Find(from.Vm); ok {
		c.d.noteRevision(member.PeerAddress, m.Held)
	}
	c.send(configMessage{pull: m, reply: reply})
}

// answerPull replies to a peer's pull.
func (c *configSync) answerPull(m *pb.ConfigPull, reply func(*pb.Frame)) {
	docs := c.documents(c.syncer.State().Since(m.After, m.AfterName))
	docs.Id = m.Id
	reply(&pb.Frame{Body: &pb.Frame_ConfigDocuments{ConfigDocuments: docs}})
	c.metrics.served.Inc()
}

// notReady returns the reason why the configuration may not be used yet, or "" if it
// may.
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

// fillStatus sets the configuration fields of the operator API's status.
func (c *configSync) fillStatus(out *operatorapi.Status) {
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

// configMetrics holds the metrics of configuration reads, pulls and pushes.
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
	for _, event := range config.PullEvents {
		m.pulls.WithLabelValues(string(event))
	}
	return m
}

func (m *configMetrics) update(st *configStatus) {
	m.revision.Set(float64(st.revision))
	m.age.Set(time.Since(st.confirmed).Seconds())
	m.reader.Set(0)
	if st.reader {
		m.reader.Set(1)
	}
}
