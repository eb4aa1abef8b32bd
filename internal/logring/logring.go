// Package logring provides a non-blocking log sink. Lines are copied into a bounded
// buffer that one goroutine writes to the output. A line that does not fit into
// the buffer, or that exceeds the rate limit in bytes per second, is dropped. The
// least important lines are dropped first, and a summary line reports the number
// of dropped lines of each class.
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
	// maxBufferBytes limits the size of the buffer: one second at the full rate.
	maxBufferBytes = 64 << 10
	// bytesPerSecond is the rate limit, about 200 lines per second.
	bytesPerSecond = 64 << 10
	// maxWriteBytes limits one write to the output. A write of this size to a pipe is
	// atomic, so lines of several processes do not interleave, and log collectors
	// that read only part of a long write lose no lines.
	maxWriteBytes = 4 << 10
	// flushInterval is the interval at which Run flushes the buffer.
	flushInterval = 250 * time.Millisecond
)

// Buffer buffers log lines until they are written. Its methods are safe for
// concurrent use, except that only one goroutine may call Run or Flush at a time.
type Buffer struct {
	vm      string
	out     io.Writer
	now     func() time.Time
	dropped [numClasses]atomic.Uint64
	// reported holds the counts of dropped that summary lines have already
	// reported. Only Flush uses it.
	reported [numClasses]uint64
	// flushSoon has an element when Run is to flush before the next interval is over.
	flushSoon chan struct{}

	// mu guards the fields below.
	mu  sync.Mutex
	buf []byte
	// spare is the previously flushed buffer, kept for reuse.
	spare []byte
	// tokens is the number of bytes that may be added now.
	tokens     float64
	lastRefill time.Time
}

// New returns an empty ring that writes to out. vm is the VM name that every line
// carries.
func New(vm string, out io.Writer, now func() time.Time) *Buffer {
	return &Buffer{vm: vm, out: out, now: now, flushSoon: make(chan struct{}, 1), tokens: bytesPerSecond, lastRefill: now()}
}

// add copies a line into the buffer, or drops and counts it.
func (r *Buffer) add(class Class, line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	usable := 1 - reservedFraction[class]
	full := float64(len(r.buf)+len(line)) > maxBufferBytes*usable
	if full || r.tokens-float64(len(line)) < bytesPerSecond*reservedFraction[class] {
		r.dropped[class].Add(1)
		return
	}
	r.tokens -= float64(len(line))
	r.buf = append(r.buf, line...)
}

// Dropped returns the number of lines of a class dropped so far.
func (r *Buffer) Dropped(class Class) uint64 { return r.dropped[class].Load() }

// Run flushes the buffer periodically until ctx is done, then flushes it once more.
// It returns the error of that last flush.
func (r *Buffer) Run(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.Flush()
		case <-t.C:
		case <-r.flushSoon:
		}
		// Keep running after an error, the output may recover. The lines of a failed
		// write are lost uncounted. While a write blocks, new lines are dropped and
		// counted once the buffer is full.
		_ = r.Flush()
	}
}

// requestFlush makes Run flush the buffer without waiting for the interval.
func (r *Buffer) requestFlush() {
	select {
	case r.flushSoon <- struct{}{}:
	default:
	}
}

// Flush writes the buffered lines, followed by the summary lines on dropped lines.
func (r *Buffer) Flush() error {
	r.mu.Lock()
	buf := r.buf
	r.buf = r.spare[:0]
	r.spare = nil
	r.mu.Unlock()
	buf = r.appendDropped(buf)
	err := r.write(buf)
	r.mu.Lock()
	r.spare = buf[:0]
	r.mu.Unlock()
	return err
}

// write writes whole lines, as many per call as fit into maxWriteBytes. A line longer
// than that is written in one call.
func (r *Buffer) write(lines []byte) error {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
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

// appendDropped appends a summary line for each class that has dropped lines which
// no earlier summary line reported.
func (r *Buffer) appendDropped(buf []byte) []byte {
	for class := range numClasses {
		dropped := r.Dropped(class)
		if dropped == r.reported[class] {
			continue
		}
		buf = fmt.Appendf(buf, `{"level":"warn","ts":%q,"msg":"log: lines left out","vm":%q,"class":%q,"count":%d}`+"\n",
			r.now().Format(TimeLayout), r.vm, class, dropped-r.reported[class])
		r.reported[class] = dropped
	}
	return buf
}

// refill adds the tokens for the time since the last refill.
func (r *Buffer) refill() {
	now := r.now()
	r.tokens = min(r.tokens+bytesPerSecond*max(0, now.Sub(r.lastRefill).Seconds()), bytesPerSecond)
	r.lastRefill = now
}
