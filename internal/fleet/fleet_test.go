package fleet_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/demo"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet")
}

var _ = Describe("the whole path", func() {
	It("answers every kind of both users with no property broken", func() {
		report, err := demo.Run(demo.Options{VMs: 3, Requests: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Broken).To(BeEmpty())
		Expect(report.Rows).To(HaveLen(13))
		for _, row := range report.Rows {
			Expect(row.Refused).To(BeZero(), row.Kind)
		}
	})
})
