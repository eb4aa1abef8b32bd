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
	r := New("v", out, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	if _, err := change(r).Write(line); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Flush() }()
	<-out.entered
	for range 1000 {
		now = now.Add(time.Millisecond)
		if n, err := change(r).Write(line); n != len(line) || err != nil {
			t.Fatalf("write %d, %v", n, err)
		}
	}
	if r.Dropped(Change) == 0 {
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
	r := New("v", &out, func() time.Time { return now })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * bytesPerSecond / len(line) {
		if _, err := change(r).Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"msg":"log: lines left out","vm":"v","class":"change","count":64`) {
		t.Errorf("no word of the lines left out: %.80s", out.String()[out.Len()-80:])
	}
	out.Reset()
	now = now.Add(time.Second)
	if _, err := change(r).Write(line); err != nil {
		t.Fatal(err)
	}
	if err := r.Flush(); err != nil || out.String() != string(line) {
		t.Errorf("a second later: %d bytes, %v", out.Len(), err)
	}
}

// Symptom: the log of a bad minute does not name its cause.
// Sequence: an upstream stops; thousands of requests fail and each writes a
// line; the line on the upstream comes when the budget is used up.
// Cause: lines were kept in the order in which they came.
func TestStormsOfFailuresLeaveRoomForChanges(t *testing.T) {
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
		t.Errorf("left out: %d, %d, %d of %v", r.Dropped(Change), r.Dropped(Failure), r.Dropped(Sample), got)
	}
	for _, class := range []Class{Failure, Sample} {
		if want := fmt.Sprintf(`"class":%q,"count":%d`, class, r.Dropped(class)); !strings.Contains(out.String(), want) {
			t.Errorf("no line says %s", want)
		}
	}
}

// pieces keeps what each write brought.
type pieces [][]byte

func (p *pieces) Write(b []byte) (int, error) {
	*p = append(*p, bytes.Clone(b))
	return len(b), nil
}

// Symptom: refused requests have no line, though none was left out.
// Sequence: many lines are written in a quarter of a second; whoever collects them
// takes eight kilobytes of each write.
// Cause: all that had gathered was written in one piece.
func TestLinesAreWrittenInPiecesOfWholeLines(t *testing.T) {
	var out pieces
	r := New("v", &out, time.Now)
	long := strings.Repeat("y", writeBytes) + "\n"
	var want string
	for i := range 100 {
		line := strings.Repeat("x", 10*i) + "\n"
		if i == 50 {
			line = long
		}
		want += line
		if _, err := change(r).Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, p := range out {
		if len(p) > writeBytes && string(p) != long || p[len(p)-1] != '\n' {
			t.Errorf("a piece of %d bytes that ends in %q", len(p), p[len(p)-1])
		}
		got += string(p)
	}
	if got != want {
		t.Errorf("%d bytes were written of %d", len(got), len(want))
	}
}

func TestRunWritesWhatIsLeft(t *testing.T) {
	var out bytes.Buffer
	r := New("v", &out, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := change(r).Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	if err := r.Run(ctx); err != nil || out.String() != "last\n" {
		t.Errorf("%q, %v", out.String(), err)
	}
}

func BenchmarkWrite(b *testing.B) {
	r := New("v", &bytes.Buffer{}, time.Now)
	line := []byte(strings.Repeat("x", 255) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := change(r).Write(line); err != nil {
			b.Fatal(err)
		}
	}
}

// change writes lines of the most important class.
func change(r *Ring) writer { return writer{r, Change} }
