package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// stop lets the requests in flight finish, at most for the drain time.
func (d *Daemon) stop() {
	d.log.Info("daemon: stopping, requests in flight finish first")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Limits.DrainMs)*time.Millisecond)
	defer cancel()
	d.front.Stop(ctx)
	d.owner.Stop()
	if err := d.caller.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: callers were cut off", zap.Error(err))
	}
	if err := d.operator.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: operators were cut off", zap.Error(err))
	}
}
