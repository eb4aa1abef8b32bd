// Package logring writes log lines without ever making their writer wait: lines
// go into a bounded buffer that one goroutine empties. What does not fit, or is
// over the budget of bytes a second, is dropped and counted, the least important
// first, and a line says how many of each class were.
package logring

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds what waits to be written: a second at the full rate.
	bufferBytes = 64 << 10
	// bytesPerSecond bounds the volume: about 200 lines a second.
	bytesPerSecond = 64 << 10
	// writeBytes bounds one write to the output: a pipe takes as much at once or
	// not at all, so that lines of several writers do not mix, and collectors that
	// read in small pieces lose nothing of a long one.
	writeBytes = 4 << 10
	// flushEvery is how often what waits is written, in one call.
	flushEvery = 250 * time.Millisecond
)

// Ring holds lines until they are written. It is safe for concurrent use.
type Ring struct {
	vm      string
	out     io.Writer
	now     func() time.Time
	dropped [classes]atomic.Uint64
	// told is what of dropped a line has told; only Flush uses it.
	told [classes]uint64

	mu     sync.Mutex
	buf    []byte
	spare  []byte
	tokens float64
	last   time.Time
}

// New is an empty ring before out, for the process of a VM.
func New(vm string, out io.Writer, now func() time.Time) *Ring {
	return &Ring{vm: vm, out: out, now: now, tokens: bytesPerSecond, last: now()}
}

// add copies a line or drops it.
func (r *Ring) add(class Class, line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	kept := 1 - reserve[class]
	full := float64(len(r.buf)+len(line)) > bufferBytes*kept
	if full || r.tokens-float64(len(line)) < bytesPerSecond*reserve[class] {
		r.dropped[class].Add(1)
		return
	}
	r.tokens -= float64(len(line))
	r.buf = append(r.buf, line...)
}

// Dropped is how many lines of a class were left out so far.
func (r *Ring) Dropped(class Class) uint64 { return r.dropped[class].Load() }

// Run writes until ctx ends, then writes what is left.
func (r *Ring) Run(ctx context.Context) error {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.Flush()
		case <-t.C:
			if err := r.Flush(); err != nil {
				// Nobody reads the output any more: lines are dropped once the
				// buffer is full, and counted.
				continue
			}
		}
	}
}

// Flush writes what waits.
func (r *Ring) Flush() error {
	r.mu.Lock()
	buf := r.buf
	r.buf = r.spare[:0]
	r.spare = nil
	r.mu.Unlock()
	buf = r.tellDropped(buf)
	err := r.write(buf)
	r.mu.Lock()
	r.spare = buf[:0]
	r.mu.Unlock()
	return err
}

// write writes whole lines, as many at a time as writeBytes holds, at least one.
func (r *Ring) write(lines []byte) error {
	for len(lines) > 0 {
		n := len(lines)
		if n > writeBytes {
			n = bytes.LastIndexByte(lines[:writeBytes], '\n') + 1
		}
		if n == 0 {
			n = bytes.IndexByte(lines, '\n') + 1
		}
		if _, err := r.out.Write(lines[:n]); err != nil {
			return err
		}
		lines = lines[n:]
	}
	return nil
}

// tellDropped appends a line for each class of which lines were left out since
// the last one.
func (r *Ring) tellDropped(buf []byte) []byte {
	for class := range classes {
		dropped := r.Dropped(class)
		if dropped == r.told[class] {
			continue
		}
		buf = fmt.Appendf(buf, `{"level":"warn","ts":%q,"msg":"log: lines left out","vm":%q,"class":%q,"count":%d}`+"\n",
			r.now().Format(TimeLayout), r.vm, class, dropped-r.told[class])
		r.told[class] = dropped
	}
	return buf
}

func (r *Ring) refill() {
	now := r.now()
	r.tokens = min(r.tokens+bytesPerSecond*max(0, now.Sub(r.last).Seconds()), bytesPerSecond)
	r.last = now
}
