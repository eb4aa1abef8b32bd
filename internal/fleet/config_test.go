package fleet_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// startSeeded starts a fleet whose VMs have each other as seeds.
func startSeeded(vms int) *fleet.Fleet {
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"payments": payments},
		VMs:         vms,
		DataCentres: []string{"d1"},
		Seeds:       true,
		Behaviour:   func(*pb.Upstream, string) standin.Behaviour { return standin.Behaviour{} },
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		for _, vm := range f.VMs {
			vm.Kill()
		}
		f.Close()
	})
	return f
}

var _ = Describe("configuration", func() {
	// Guards against a restarted VM that cannot serve while the platform is down
	// because it loads its first configuration only from the platform.
	It("is loaded from peers while the platform is down", func() {
		f := startSeeded(3)
		want := f.VMs[1].Daemon.Status().Revision
		f.Platform.SetDown(true)
		Expect(f.Restart(0, true)).To(Succeed())
		Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(20 * time.Second).Should(BeEmpty())
		Expect(f.VMs[0].Daemon.Status().Revision).To(BeNumerically(">=", want))
		Eventually(func() string { return f.VMs[0].Daemon.Status().Platform.Reason }).WithTimeout(20 * time.Second).Should(Equal("refused"))
	})

	// Guards against a VM that starts while neither the platform nor a peer is
	// reachable and accepts requests without a configuration, or is not ready
	// without a reason. Readiness must depend on the configuration.
	It("is reported as missing when neither the platform nor a peer answers", func() {
		f := startSeeded(1)
		f.Platform.SetDown(true)
		Expect(f.Restart(0, true)).To(Succeed())
		Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(20 * time.Second).Should(ContainSubstring("the platform is refused and no peer has given one"))
		f.Platform.SetDown(false)
		Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(20 * time.Second).Should(BeEmpty())
	})

	// Guards against a customer being unknown, without explanation, at a VM that
	// restarts after a revision was rejected: the platform has only the rejected
	// revision, and only the peers have the one in force.
	It("keeps the previous revision of a rejected document across a restart", func() {
		f := startSeeded(3)
		f.EditDocument("payments", func(text string) string { return strings.Replace(text, "weight", "wait", 1) })
		rejected := func(vm int) func() int {
			return func() int { return len(f.VMs[vm].Daemon.Status().Rejected) }
		}
		for vm := range f.VMs {
			Eventually(rejected(vm)).WithTimeout(20 * time.Second).Should(Equal(1))
		}
		Expect(f.Restart(2, true)).To(Succeed())
		Eventually(f.VMs[2].Daemon.NotReady).WithTimeout(20 * time.Second).Should(BeEmpty())
		Expect(f.VMs[2].Daemon.Snapshot().Customers()).To(HaveLen(1))
		Expect(f.VMs[2].Daemon.Status().Rejected).To(HaveLen(1))
		Expect(f.VMs[2].Daemon.Status().Rejected[0].Findings.String()).To(ContainSubstring("wait"))
	})

	// Guards against a VM that crashes or loses configuration because it trusts
	// the platform's answers, which are malformed, then stale, then valid.
	It("survives malformed and stale answers of the platform", func() {
		f := startSeeded(3)
		f.Platform.SetGarble(func(b []byte) []byte { return b[:len(b)/2] })
		Eventually(func() string {
			return f.VMs[0].Daemon.Status().Platform.Reason + f.VMs[1].Daemon.Status().Platform.Reason
		}).
			WithTimeout(20 * time.Second).Should(ContainSubstring("malformed"))
		f.Platform.SetGarble(nil)
		f.Platform.SetStale(1)
		f.EditDocument("payments", func(text string) string { return text + "\n" })
		Expect(f.VMs[0].Daemon.Snapshot().Customers()).To(HaveLen(1))
		f.Platform.SetStale(0)
		f.EditDocument("payments", func(text string) string { return text + "\n" })
		want := f.Platform.Publish("payments", []byte(f.Document("payments")))
		for _, vm := range f.VMs {
			Eventually(func() uint64 { return vm.Daemon.Status().Revision }).WithTimeout(20 * time.Second).Should(Equal(want))
		}
	})
})
