package platform_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sycamorekeel.example/sycamorekeel/internal/config"
	"sycamorekeel.example/sycamorekeel/internal/platform"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// start starts a platform and a client of it.
func start(t *testing.T) (*standin.Platform, *platform.Client) {
	t.Helper()
	p, err := standin.StartPlatform()
	if err != nil {
		t.Fatal(err)
	}
	c := platform.NewClient(p.Address())
	t.Cleanup(func() {
		c.Close()
		p.Close()
	})
	return p, c
}

func TestPages(t *testing.T) {
	p, c := start(t)
	p.Publish("a", []byte("one"))
	p.Publish("b", []byte("two"))
	p.Publish("a", []byte("three"))
	p.Delete("b")
	p.SetPageBytes(4)
	first, err := c.Changes(0, 0)
	if err != nil || !first.More || first.Revision != 3 || len(first.Documents) != 1 || string(first.Documents[0].Body) != "three" {
		t.Fatalf("%v, %v", first, err)
	}
	p.SetPageBytes(100)
	rest, err := c.Changes(first.Revision, 0)
	if err != nil || rest.More || rest.Revision != 4 || rest.After != 3 || !rest.Documents[0].Deleted {
		t.Fatalf("%v, %v", rest, err)
	}
	p.SetStale(2)
	old, err := c.Changes(0, 0)
	if err != nil || old.Revision != 2 || string(old.Documents[0].Body) != "one" {
		t.Fatalf("%v, %v", old, err)
	}
}

func TestWatchReturnsOnChange(t *testing.T) {
	p, c := start(t)
	p.Publish("a", nil)
	got := make(chan config.Page, 1)
	go func() {
		page, _ := c.Changes(1, time.Minute)
		got <- page
	}()
	for p.Reads() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.Publish("b", nil)
	if page := <-got; page.Revision != 2 || page.Documents[0].Name != "b" {
		t.Errorf("%v", page)
	}
}

// TestCloseEndsWatch guards against a planned stop that takes as long as a watch:
// the daemon stops while a watch waits at the platform and nothing ends the call.
func TestCloseEndsWatch(t *testing.T) {
	p, err := standin.StartPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	before := goleak.IgnoreCurrent()
	c := platform.NewClient(p.Address())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Changes(0, time.Hour)
		ended <- err
	}()
	for p.Reads() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	if err := <-ended; platform.ReasonOf(err) != config.Unreachable {
		t.Errorf("%v", err)
	}
	if _, err := c.Changes(0, 0); err == nil {
		t.Error("a closed client still reads")
	}
	p.SetDown(true)
	goleak.VerifyNone(t, before,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).workerFunc"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// TestFailedReads guards against a daemon that accepts an invalid answer as the
// newest configuration, or crashes on it. Such answers come from a platform that
// is down, overloaded, behind a proxy, or that truncates them. An answer must be
// complete and valid before any part of it is used.
func TestFailedReads(t *testing.T) {
	fixed := func(text string) func([]byte) []byte {
		return func([]byte) []byte { return []byte(text) }
	}
	tests := []struct {
		name   string
		garble func([]byte) []byte
		want   config.FailureReason
	}{
		{"empty", fixed(""), config.Malformed},
		{"an HTML page of a proxy", fixed("<html>"), config.Malformed},
		{"cut off", func(b []byte) []byte { return b[:len(b)/2] }, config.Malformed},
		{"too large", func([]byte) []byte { return bytes.Repeat([]byte(" "), 5<<20) }, config.Malformed},
		{"not an object", fixed("[]"), config.Malformed},
		{"a negative revision", fixed(`{"revision":-1}`), config.Malformed},
		{"a revision that does not fit", fixed(`{"revision":18446744073709551616}`), config.Malformed},
		{"a document without a name", fixed(`{"revision":3,"documents":[{"revision":3}]}`), config.Malformed},
		{"a document without a revision", fixed(`{"revision":3,"documents":[{"name":"a"}]}`), config.Malformed},
		{"a document above the revision of the page", fixed(`{"revision":3,"documents":[{"name":"a","revision":4}]}`), config.Malformed},
		{"documents out of order", fixed(`{"revision":3,"documents":[{"name":"a","revision":3},{"name":"b","revision":2}]}`), config.Malformed},
		{"a body that is not base64", fixed(`{"revision":3,"documents":[{"name":"a","revision":3,"body":"%"}]}`), config.Malformed},
		{"more, but a revision above the last document", fixed(`{"revision":3,"more":true,"documents":[{"name":"a","revision":2}]}`), config.Malformed},
		{"more, but no documents", fixed(`{"revision":3,"more":true}`), config.Malformed},
	}
	p, c := start(t)
	p.Publish("a", []byte("text"))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p.SetGarble(tt.garble)
			page, err := c.Changes(0, 0)
			if err == nil || platform.ReasonOf(err) != tt.want || page.Revision != 0 {
				t.Errorf("%v, %v", page, err)
			}
		})
	}
	p.SetGarble(nil)
	if _, err := c.Changes(0, 0); err != nil {
		t.Errorf("a valid answer after the invalid ones: %v", err)
	}
	p.SetDown(true)
	if _, err := c.Changes(0, 0); platform.ReasonOf(err) != config.Refused {
		t.Errorf("%v", err)
	}
	p.Close()
	if _, err := c.Changes(0, 0); platform.ReasonOf(err) != config.Unreachable {
		t.Errorf("%v", err)
	}
}

// FuzzDecode checks that arbitrary bytes give either a valid page or an error.
func FuzzDecode(f *testing.F) {
	f.Add(uint64(0), []byte(`{"revision":3,"documents":[{"name":"a","revision":2,"body":"YQ=="}],"more":false}`))
	f.Add(uint64(1), []byte(`{"revision":2,"documents":[{"name":"a","revision":2,"deleted":true}],"more":true}`))
	f.Add(uint64(9), []byte(`{"revision":1}`))
	f.Fuzz(func(t *testing.T, after uint64, body []byte) {
		page, err := platform.Decode(after, body)
		if err != nil {
			return
		}
		last := after
		for _, d := range page.Documents {
			if d.Name == "" || d.Revision < last || d.Revision > page.Revision {
				t.Fatalf("%v", page)
			}
			last = d.Revision
		}
		config.New().Merge(page)
	})
}

// Guards against changes that are taken from a malformed response of the service.
func TestMalformedResponseIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 Zero\r\n",
		"version 9.9":     "HTTP/9.9 200 OK\r\n",
		"blank in a name": "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	} {
		service, err := standin.StartRaw(head + "Content-Length: 14\r\n\r\n{\"revision\":7}")
		if err != nil {
			t.Fatal(err)
		}
		c := platform.NewClient(service.Address())
		if page, err := c.Changes(0, 0); err == nil || !strings.Contains(err.Error(), "malformed response") {
			t.Errorf("%s: page %v, %v, want a malformed response", name, page, err)
		}
		c.Close()
		service.Close()
	}
}

// Guards against a response without end, in any part, that is kept until memory runs out.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	for part, text := range standin.EndlessAnswers {
		service, err := standin.StartEndless(text[0], text[1])
		if err != nil {
			t.Fatal(err)
		}
		c := platform.NewClient(service.Address())
		if page, err := c.Changes(0, time.Minute); err == nil {
			t.Errorf("%s: page %v", part, page)
		}
		service.WaitEnded()
		c.Close()
		service.Close()
	}
}
