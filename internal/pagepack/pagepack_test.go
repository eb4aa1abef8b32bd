package pagepack

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

// document is a configuration with some routes, as operators write it. Successive
// versions differ in the version, at the front, and in one route.
func document(routes, version int) []byte {
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

// held is a document that both sides hold.
func held(text []byte) catalog.Document {
	return catalog.Document{Sum: xxhash.Sum64(text), Text: text}
}

func pageOf(document []byte) *pb.CatalogPage {
	return &pb.CatalogPage{Revision: 9, After: 8, Items: []*pb.CatalogItem{{Key: "c", Value: document, Revision: 9}}}
}

func TestPackAndUnpack(t *testing.T) {
	former := held(document(1100, 10))
	next := pageOf(document(1100, 500))
	for name, base := range map[string]catalog.Document{"against a base": former, "without": {}} {
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

// One change of a large document travels as what changed.
func TestAChangeIsSmall(t *testing.T) {
	body, err := Pack(pageOf(document(1100, 500)), held(document(1100, 10)))
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > 500 {
		t.Errorf("one route of 1,100 takes %d bytes", len(body))
	}
}

// Each row is a body that must be told as broken and never taken for a page.
func TestBrokenBodies(t *testing.T) {
	former := held(document(300, 10))
	body, err := Pack(pageOf(document(300, 12)), former)
	if err != nil {
		t.Fatal(err)
	}
	flipped := append([]byte(nil), body...)
	flipped[len(flipped)/2] ^= 0x40
	other := catalog.Document{Sum: former.Sum, Text: document(300, 11)}
	for name, c := range map[string]struct {
		body []byte
		base catalog.Document
	}{
		"cut short":                         {body[:len(body)-3], former},
		"one bit turned":                    {flipped, former},
		"no base":                           {body, catalog.Document{}},
		"another base":                      {body, held(document(300, 11))},
		"another document of the same name": {body, other},
		"empty":                             {nil, former},
		"not packed":                        {[]byte("plain"), former},
	} {
		if _, err := Unpack(c.body, c.base); err == nil {
			t.Errorf("%s: taken for a page", name)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	former := held(document(20, 1))
	body, err := Pack(pageOf(document(20, 2)), former)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		page, err := Unpack(body, former)
		if err == nil && page == nil {
			t.Error("neither a page nor an error")
		}
	})
}

func BenchmarkPack(b *testing.B) {
	for _, routes := range []int{100, 1100, 6000} {
		former, page := held(document(routes, 10)), pageOf(document(routes, 11))
		for name, base := range map[string]catalog.Document{"whole": {}, "change": former} {
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
	former := held(document(1100, 10))
	body, err := Pack(pageOf(document(1100, 11)), former)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Unpack(body, former); err != nil {
			b.Fatal(err)
		}
	}
}
