package pagecodec

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// testDocument returns a configuration with the given number of routes, as operators
// write it. Successive versions differ in the version number, at the front, and in one
// route.
func testDocument(routes, version int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		timeout := 4000
		if i == version%routes {
			timeout += version
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d.example","prefix":"/%x/%x/","service":"s%d","type":"safe","timeout_ms":%d,"priority":1,"attempts":2},`,
			random.Uint32()%(1<<28), random.Uint32()%20, random.Uint32(), random.Uint32(), random.Uint32()%5, timeout)
	}
	b.WriteString(`{}]}`)
	return []byte(b.String())
}

// newDocument returns the Document of a text, to be used as a base.
func newDocument(text []byte) catalog.Document {
	return catalog.Document{Sum: xxhash.Sum64(text), Text: text}
}

func newPage(document []byte) *pb.CatalogPage {
	return &pb.CatalogPage{Revision: 9, After: 8, Items: []*pb.CatalogItem{{Key: "c", Value: document, Revision: 9}}}
}

func TestPackAndUnpack(t *testing.T) {
	previous := newDocument(testDocument(1100, 10))
	next := newPage(testDocument(1100, 500))
	for name, base := range map[string]catalog.Document{"against a base": previous, "without": {}} {
		body, err := Pack(next, base)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Unpack(body, base)
		if err != nil || !proto.Equal(got, next) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A single change of a large document is sent as a small difference.
func TestAChangeIsSmall(t *testing.T) {
	body, err := Pack(newPage(testDocument(1100, 500)), newDocument(testDocument(1100, 10)))
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > 500 {
		t.Errorf("a change of one route of 1,100 takes %d bytes", len(body))
	}
}

// Each row is a body that must be rejected with an error.
func TestBrokenBodies(t *testing.T) {
	base := newDocument(testDocument(300, 10))
	body, err := Pack(newPage(testDocument(300, 12)), base)
	if err != nil {
		t.Fatal(err)
	}
	flipped := append([]byte(nil), body...)
	flipped[len(flipped)/2] ^= 0x40
	other := catalog.Document{Sum: base.Sum, Text: testDocument(300, 11)}
	for name, c := range map[string]struct {
		body []byte
		base catalog.Document
	}{
		"cut short":                           {body[:len(body)-3], base},
		"one bit flipped":                     {flipped, base},
		"no base":                             {body, catalog.Document{}},
		"another base":                        {body, newDocument(testDocument(300, 11))},
		"another document with the same hash": {body, other},
		"empty":                               {nil, base},
		"not packed":                          {[]byte("plain"), base},
	} {
		if _, err := Unpack(c.body, c.base); err == nil {
			t.Errorf("%s: Unpack succeeded", name)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	base := newDocument(testDocument(20, 1))
	body, err := Pack(newPage(testDocument(20, 2)), base)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		page, err := Unpack(body, base)
		if err == nil && page == nil {
			t.Error("Unpack returned neither a page nor an error")
		}
	})
}

func BenchmarkPack(b *testing.B) {
	for _, routes := range []int{100, 1100, 6000} {
		previous, page := newDocument(testDocument(routes, 10)), newPage(testDocument(routes, 11))
		for name, base := range map[string]catalog.Document{"whole": {}, "change": previous} {
			b.Run(fmt.Sprintf("%d routes, %s", routes, name), func(b *testing.B) {
				b.ReportAllocs()
				size := 0
				for b.Loop() {
					body, err := Pack(page, base)
					if err != nil {
						b.Fatal(err)
					}
					size = len(body)
				}
				b.ReportMetric(float64(len(page.Items[0].Value)), "document-B")
				b.ReportMetric(float64(size), "packed-B")
			})
		}
	}
}

func BenchmarkUnpack(b *testing.B) {
	base := newDocument(testDocument(1100, 10))
	body, err := Pack(newPage(testDocument(1100, 11)), base)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Unpack(body, base); err != nil {
			b.Fatal(err)
		}
	}
}
