package logring

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// stuck is an output that nobody reads.
type stuck struct{ entered, release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return len(b), nil
}

// Symptom: requests stand still when whoever collects the logs stops reading.
// Sequence: the pipe fills up, the write of a line blocks, with it the request.
// Cause: lines were written where they were made.
func TestAReaderThatStopsHoldsNobodyUp(t *testing.T) {
	out := stuck{make(chan struct{}, 1), make(chan struct{})}
	now := time.Unix(1000, 0)
	r := New(out, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	if _, err := r.Write(line); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Flush() }()
	<-out.entered
	for range 1000 {
		now = now.Add(time.Millisecond)
		if n, err := r.Write(line); n != len(line) || err != nil {
			t.Fatalf("write %d, %v", n, err)
		}
	}
	if r.Dropped() == 0 {
		t.Error("nothing was left out, so the buffer has no bound")
	}
	close(out.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestLinesLeftOutAreCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	r := New(&out, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * bytesPerSecond / len(line) {
		if _, err := r.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"msg":"log: lines left out","count":64`) {
		t.Errorf("no word of the lines left out: %.80s", out.String()[out.Len()-80:])
	}
	out.Reset()
	now = now.Add(time.Second)
	if _, err := r.Write(line); err != nil {
		t.Fatal(err)
	}
	if err := r.Flush(); err != nil || out.String() != string(line) {
		t.Errorf("a second later: %d bytes, %v", out.Len(), err)
	}
}

func TestRunWritesWhatIsLeft(t *testing.T) {
	var out bytes.Buffer
	r := New(&out, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := r.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	if err := r.Run(ctx); err != nil || out.String() != "last\n" {
		t.Errorf("%q, %v", out.String(), err)
	}
}

func BenchmarkWrite(b *testing.B) {
	r := New(&bytes.Buffer{}, time.Now)
	line := []byte(strings.Repeat("x", 255) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Write(line); err != nil {
			b.Fatal(err)
		}
	}
}
