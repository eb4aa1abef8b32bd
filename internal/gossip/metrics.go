package gossip

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

type metrics struct {
	sent      prometheus.Counter
	sentBytes prometheus.Counter
	received  prometheus.Counter
	errors    prometheus.Counter
	dropped   *prometheus.CounterVec
	members   *prometheus.GaugeVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		sent:      f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_gossip_datagrams_sent_total", Help: "Datagrams sent to peers."}),
		sentBytes: f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_gossip_sent_bytes_total", Help: "Bytes of the datagrams sent, without UDP and IP headers."}),
		received:  f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_gossip_datagrams_received_total", Help: "Datagrams taken in."}),
		errors:    f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_gossip_send_errors_total", Help: "Datagrams that could not be sent."}),
		dropped:   f.NewCounterVec(prometheus.CounterOpts{Name: "sycamorekeel_gossip_dropped_total", Help: "Datagrams refused, by reason."}, []string{"reason"}),
		members:   f.NewGaugeVec(prometheus.GaugeOpts{Name: "sycamorekeel_membership_members", Help: "Members by state."}, []string{"state"}),
	}
}

// registerStats exports the counters of the membership node.
func registerStats(r prometheus.Registerer, stats func() membership.Stats) {
	f := promauto.With(r)
	export := func(name, help string, value func(membership.Stats) uint64) {
		f.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
			return float64(value(stats()))
		})
	}
	export("sycamorekeel_membership_probes_total", "Members probed.", func(s membership.Stats) uint64 { return s.Probes })
	export("sycamorekeel_membership_indirect_probes_total", "Peers asked to probe a member that did not answer.", func(s membership.Stats) uint64 { return s.IndirectProbes })
	export("sycamorekeel_membership_failed_probes_total", "Probes answered neither directly nor through peers.", func(s membership.Stats) uint64 { return s.FailedProbes })
	export("sycamorekeel_membership_suspicions_total", "Members suspected, here or by peers.", func(s membership.Stats) uint64 { return s.Suspicions })
	export("sycamorekeel_membership_refutations_total", "Suspicions of this VM that it refuted.", func(s membership.Stats) uint64 { return s.Refutations })
	export("sycamorekeel_membership_deaths_total", "Members held dead.", func(s membership.Stats) uint64 { return s.Deaths })
	export("sycamorekeel_membership_pauses_total", "Gaps in this process's own ticks.", func(s membership.Stats) uint64 { return s.Pauses })
	export("sycamorekeel_membership_outdated_answers_total", "Old processes told that a newer one has their name.", func(s membership.Stats) uint64 { return s.Outdated })
}

// setMembers exports the number of members by state.
func (m *metrics) setMembers(v *membership.View) {
	count := map[pb.MemberState]int{}
	for i := range v.Members {
		count[v.Members[i].State]++
	}
	for _, s := range []pb.MemberState{pb.MemberState_ALIVE, pb.MemberState_SUSPECT, pb.MemberState_LEAVING, pb.MemberState_DEAD} {
		m.members.WithLabelValues(stateLabel(s)).Set(float64(count[s]))
	}
}
