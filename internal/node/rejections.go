package node

import (
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// rejectionWindow and maxRejectionLines limit the log lines about rejected items: other writers
	// may write any number of them.
	rejectionWindow   = 10 * time.Second
	maxRejectionLines = 20
)

// rejections limits the log lines about items of the store that were rejected. It is not safe for
// concurrent use.
type rejections struct {
	windowStart time.Time
	lines       int
	// unlogged counts the rejected items of the window without a line.
	unlogged int
}

// add returns the items to be logged, and how many of the previous window were not, if it has ended.
func (r *rejections) add(now time.Time, items []catalog.Rejected, unlisted int) (logged []catalog.Rejected, suppressed int) {
	if now.Sub(r.windowStart) >= rejectionWindow {
		suppressed = r.unlogged
		r.windowStart, r.lines, r.unlogged = now, 0, 0
	}
	r.unlogged += unlisted
	for _, x := range items {
		switch {
		case x.Repeated:
		case r.lines < maxRejectionLines:
			r.lines++
			logged = append(logged, x)
		default:
			r.unlogged++
		}
	}
	return logged, suppressed
}

// logRejected counts and logs rejected items.
func (s *catalogSyncer) logRejected(total int, logged []catalog.Rejected, suppressed int) {
	s.met.rejected.Add(float64(total))
	for _, x := range logged {
		s.log.Warn("store: item rejected", zap.String("key", x.Key), zap.Uint64("revision", x.Revision), zap.Error(x.Err))
	}
	if suppressed > 0 {
		s.log.Warn("store: more items rejected", zap.Int("items", suppressed), zap.Duration("within", rejectionWindow))
	}
}
