package fleet_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"sycamorekeel.example/sycamorekeel/internal/demo"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet")
}

var _ = Describe("the whole path", func() {
	It("answers every query kind of both users without violating a property", func() {
		leaks := append([]goleak.Option{goleak.IgnoreCurrent()}, libraryGoroutines...)
		report, err := demo.Run(demo.Options{VMs: 3, Requests: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Broken).To(BeEmpty())
		Expect(report.Rows).To(HaveLen(13))
		for _, row := range report.Rows {
			Expect(row.Refused).To(BeZero(), row.Kind)
		}
		Eventually(func() error { return goleak.Find(leaks...) }).Should(Succeed())
	})
})

// libraryGoroutines outlive their owner: they end by themselves after a sleep, or
// run for the life of the process.
var libraryGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
}
