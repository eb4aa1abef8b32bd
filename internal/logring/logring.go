// Package logring writes log lines without ever making their writer wait: lines
// go into a bounded buffer that one goroutine empties. What does not fit, or is
// over the budget of bytes a second, is dropped and counted, and a line says how
// many were.
package logring

import (
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
	// flushEvery is how often what waits is written, in one call.
	flushEvery = 250 * time.Millisecond
)

// Ring is a zapcore.WriteSyncer.
type Ring struct {
	out     io.Writer
	now     func() time.Time
	dropped atomic.Uint64
	told    uint64

	mu     sync.Mutex
	buf    []byte
	spare  []byte
	tokens float64
	last   time.Time
}

// New is an empty ring before out.
func New(out io.Writer, now func() time.Time) *Ring {
	return &Ring{out: out, now: now, tokens: bytesPerSecond, last: now()}
}

// Write implements io.Writer. It copies the line or drops it, and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	if len(r.buf)+len(line) > bufferBytes || float64(len(line)) > r.tokens {
		r.dropped.Add(1)
		return len(line), nil
	}
	r.tokens -= float64(len(line))
	r.buf = append(r.buf, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written by Run.
func (r *Ring) Sync() error { return nil }

// Dropped is how many lines were left out so far.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

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
	if dropped := r.dropped.Load(); dropped > r.told {
		buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"msg\":\"log: lines left out\",\"count\":%d}\n", dropped-r.told)
		r.told = dropped
	}
	var err error
	if len(buf) > 0 {
		_, err = r.out.Write(buf)
	}
	r.mu.Lock()
	r.spare = buf[:0]
	r.mu.Unlock()
	return err
}

func (r *Ring) refill() {
	now := r.now()
	r.tokens = min(r.tokens+bytesPerSecond*max(0, now.Sub(r.last).Seconds()), bytesPerSecond)
	r.last = now
}
