package contract_test

import (
	"fmt"
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/contract"
)

// BenchmarkChange checks and compiles one services document, as a daemon does
// when the document changes.
func BenchmarkChange(b *testing.B) {
	for _, upstreams := range []int{100, 500, 2500} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			body := services(upstreams)
			b.ReportAllocs()
			for b.Loop() {
				doc, findings := contract.Check("f", body)
				if len(findings) > 0 {
					b.Fatal(findings)
				}
				contract.Compile(1, []contract.Accepted{{Name: "f", Revision: 1, Document: doc}})
			}
			b.ReportMetric(float64(len(body)), "document-bytes")
		})
	}
}

// services returns a document with one service that has two replicas per shard.
func services(upstreams int) []byte {
	var out strings.Builder
	out.WriteString("[[services]]\nname = \"s\"\npath = \"/\"\n")
	for i := range upstreams {
		fmt.Fprintf(&out, "[[services.upstreams]]\nid = \"u%d\"\naddress = \"10.0.%d.%d:80\"\ndata_centre = \"d\"\nslots = 5\nconnections = 40\n", i, i/250, i%250)
	}
	out.WriteString("[[services.maps]]\nversions = [1]\n")
	for i := range upstreams / 2 {
		fmt.Fprintf(&out, "[[services.maps.shards]]\nid = %d\ndocuments = 1\nreplicas = [\"u%d\", \"u%d\"]\n", i, 2*i, 2*i+1)
	}
	return []byte(out.String())
}
