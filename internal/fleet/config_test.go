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

// configured is a fleet whose VMs know each other from their settings.
func configured(vms int) *fleet.Fleet {
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
	// Symptom: a replaced VM does not serve while the platform is down.
	// Sequence: the platform goes down; a VM is replaced; its peers live.
	// Cause: taking the first configuration from the platform alone.
	It("comes from peers while the platform is down", func() {
		f := configured(3)
		want := f.VMs[1].Daemon.Status().Revision
		f.Platform.SetDown(true)
		Expect(f.Restart(0, true)).To(Succeed())
		Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(20 * time.Second).Should(BeEmpty())
		Expect(f.VMs[0].Daemon.Status().Revision).To(BeNumerically(">=", want))
		Eventually(func() string { return f.VMs[0].Daemon.Status().Platform.Reason }).WithTimeout(20 * time.Second).Should(Equal("refused"))
	})

	// Symptom: a VM without a configuration takes requests, or does not tell why
	// it takes none.
	// Sequence: it starts while neither the platform nor a peer can be reached.
	// Cause: readiness that does not depend on the configuration.
	It("is missing, and says so, when neither the platform nor a peer answers", func() {
		f := configured(1)
		f.Platform.SetDown(true)
		Expect(f.Restart(0, true)).To(Succeed())
		Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(20 * time.Second).Should(ContainSubstring("the platform is refused and no peer has given one"))
		f.Platform.SetDown(false)
		Eventually(f.VMs[0].Daemon.NotReady).WithTimeout(20 * time.Second).Should(BeEmpty())
	})

	// Symptom: a customer is unknown at a replaced VM, and nothing shows why.
	// Sequence: a revision is rejected; a VM is replaced; the platform has the
	// rejected revision only.
	// Cause: the version in force is on the peers alone.
	It("keeps the former revision of a rejected document, on a replaced VM too", func() {
		f := configured(3)
		f.Edit("payments", func(text string) string { return strings.Replace(text, "weight", "wait", 1) })
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

	// Symptom: a VM ends, or serves less, when the platform answers nonsense.
	// Sequence: answers are garbage, then of an older revision, then good.
	// Cause: trusting an answer.
	It("survives garbage and a stale platform", func() {
		f := configured(3)
		f.Platform.SetGarble(func(b []byte) []byte { return b[:len(b)/2] })
		Eventually(func() string {
			return f.VMs[0].Daemon.Status().Platform.Reason + f.VMs[1].Daemon.Status().Platform.Reason
		}).
			WithTimeout(20 * time.Second).Should(ContainSubstring("malformed"))
		f.Platform.SetGarble(nil)
		f.Platform.SetStale(1)
		f.Edit("payments", func(text string) string { return text + "\n" })
		Expect(f.VMs[0].Daemon.Snapshot().Customers()).To(HaveLen(1))
		f.Platform.SetStale(0)
		f.Edit("payments", func(text string) string { return text + "\n" })
		want := f.Platform.Publish("payments", []byte(f.Document("payments")))
		for _, vm := range f.VMs {
			Eventually(func() uint64 { return vm.Daemon.Status().Revision }).WithTimeout(20 * time.Second).Should(Equal(want))
		}
	})
})
