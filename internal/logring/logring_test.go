package logring

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ entered, release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	return len(b), nil
}

// Guards against requests that hang when the log collector stops reading: the pipe
// fills up, and a request that writes its own log line blocks in that write.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	out := blockedWriter{make(chan struct{}, 1), make(chan struct{})}
	now := time.Unix(1000, 0)
	r := New("v", out, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	if _, err := changeWriter(r).Write(line); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Flush() }()
	<-out.entered
	for range 1000 {
		now = now.Add(time.Millisecond)
		if n, err := changeWriter(r).Write(line); n != len(line) || err != nil {
			t.Fatalf("write %d, %v", n, err)
		}
	}
	if r.Dropped(Change) == 0 {
		t.Error("no line was dropped, so the buffer is unbounded")
	}
	close(out.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	r := New("v", &out, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * bytesPerSecond / len(line) {
		if _, err := changeWriter(r).Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"msg":"log: lines left out","vm":"v","class":"change","count":64`) {
		t.Errorf("no summary line on dropped lines: %.80s", out.String()[out.Len()-80:])
	}
	out.Reset()
	now = now.Add(time.Second)
	if _, err := changeWriter(r).Write(line); err != nil {
		t.Fatal(err)
	}
	if err := r.Flush(); err != nil || out.String() != string(line) {
		t.Errorf("a second later: %d bytes, %v", out.Len(), err)
	}
}

// Guards against logs that omit the cause of an outage: an upstream stops, thousands
// of requests fail, and each writes a line. If lines were kept in order of arrival,
// these would use up the rate limit before the line about the upstream is written.
func TestFailureBurstKeepsChangeLines(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	r := New("v", &out, func() time.Time { return now })
	logs := r.Loggers()
	for i := range 1000 {
		logs.Samples.Info("answered", zap.Int("n", i))
		logs.Failures.Info("failed", zap.Int("n", i))
	}
	for range 20 {
		logs.Changes.Info("changed")
	}
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for _, word := range []string{"answered", "failed", "changed"} {
		got[word] = strings.Count(out.String(), `"msg":"`+word+`"`)
	}
	if got["changed"] != 20 || got["failed"] < got["answered"] || got["answered"] == 0 {
		t.Errorf("kept %v", got)
	}
	if r.Dropped(Change) != 0 || int(r.Dropped(Failure)) != 1000-got["failed"] || int(r.Dropped(Sample)) != 1000-got["answered"] {
		t.Errorf("dropped %d, %d, %d; kept %v", r.Dropped(Change), r.Dropped(Failure), r.Dropped(Sample), got)
	}
	for _, class := range []Class{Failure, Sample} {
		if want := fmt.Sprintf(`"class":%q,"count":%d`, class, r.Dropped(class)); !strings.Contains(out.String(), want) {
			t.Errorf("no line says %s", want)
		}
	}
}

// writeRecorder records the bytes of each write.
type writeRecorder [][]byte

func (w *writeRecorder) Write(b []byte) (int, error) {
	*w = append(*w, bytes.Clone(b))
	return len(b), nil
}

// Guards against lines that get lost although none was counted as dropped: many
// lines gather between two flushes, a quarter of a second apart, and the log collector
// takes only eight kilobytes of each write. One write of the whole buffer loses the rest.
func TestFlushSplitsWritesAtLineEnds(t *testing.T) {
	var out writeRecorder
	r := New("v", &out, time.Now)
	long := strings.Repeat("y", maxWriteBytes) + "\n"
	var want string
	for i := range 100 {
		line := strings.Repeat("x", 10*i) + "\n"
		if i == 50 {
			line = long
		}
		want += line
		if _, err := changeWriter(r).Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, p := range out {
		if len(p) > maxWriteBytes && string(p) != long || p[len(p)-1] != '\n' {
			t.Errorf("write of %d bytes ends in %q", len(p), p[len(p)-1])
		}
		got += string(p)
	}
	if got != want {
		t.Errorf("wrote %d of %d bytes", len(got), len(want))
	}
}

func TestRunFlushesOnCancel(t *testing.T) {
	var out bytes.Buffer
	r := New("v", &out, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := changeWriter(r).Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	if err := r.Run(ctx); err != nil || out.String() != "last\n" {
		t.Errorf("%q, %v", out.String(), err)
	}
}

// Guards against lines that are lost because the process is killed before the next flush, and against
// a Sync that waits for the output.
func TestSyncAsksForAFlushWithoutWaiting(t *testing.T) {
	r := New("v", &bytes.Buffer{}, time.Now)
	for range 2 {
		if err := r.Loggers().Changes.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.flushSoon) != 1 {
		t.Errorf("%d flushes asked for, want 1", len(r.flushSoon))
	}
}

func BenchmarkWrite(b *testing.B) {
	r := New("v", &bytes.Buffer{}, time.Now)
	line := []byte(strings.Repeat("x", 255) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := changeWriter(r).Write(line); err != nil {
			b.Fatal(err)
		}
	}
}

// changeWriter returns a writer for lines of the most important class.
func changeWriter(r *Buffer) classWriter { return classWriter{r, Change} }
