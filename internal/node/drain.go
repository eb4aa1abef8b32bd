package node

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/httpserver"
)

const (
	// drainPollInterval is the interval at which a shutdown checks for open connections
	// of callers.
	drainPollInterval = 100 * time.Millisecond
	// answerPollInterval is the interval at which the end of a shutdown checks whether all
	// requests have been answered.
	answerPollInterval = 5 * time.Millisecond
	// newConnTime is how long a new connection is left open for its first request.
	newConnTime = 50 * time.Millisecond
	// slowRequestTime is how long the process waits for the rest of a request after its exit time.
	slowRequestTime = 200 * time.Millisecond
	// checksAfterLimit is how many of these checks follow a time limit. A process that was paused
	// until after it has then read what arrived meanwhile.
	checksAfterLimit = 10
	// exitLimitFactor is how many grace periods after the signal the process exits, whatever is
	// open, if nothing has killed it.
	exitLimitFactor = 2
)

// shutdown stops the VM's service. Callers learn from the directory and from each response that
// the VM is leaving. Until shortly before the end of the grace period, or until the directory
// answers that callers hold have expired and no caller is connected, it accepts connections and
// answers every request: those that cannot be served by then with a refusal. It returns once
// every request that has arrived is answered and all connections of callers are closed. The result
// is the time at which the process exits even if requests are open.
func (d *Daemon) shutdown(servers []*server) (exitLimit time.Time) {
	// The grace period began when the signal was sent, not when the process saw it.
	start := d.pauses.EarliestArrival(time.Now())
	grace := d.settings.Load().Grace
	exit := start.Add(grace - exitMargin)
	end := exit.Add(-flushMargin)
	d.leaving.Store(true)
	d.engine.BeginStop(end)
	d.log.Info("node: stopping", zap.Int64("in_flight", d.engine.InFlight()), zap.Int("connections", d.callerConns.Len()))
	d.publishCapacity()
	d.gossip.Leave()
	answersExpired := start.Add(directoryTTLFactor * d.settings.Load().directoryTTL())
	for now := time.Now(); now.Before(end); now = time.Now() {
		if now.After(answersExpired) && d.callerConns.Len() == 0 {
			break
		}
		time.Sleep(min(drainPollInterval, end.Sub(now)))
	}
	exitLimit = start.Add(exitLimitFactor * grace)
	if !d.closeConnections(servers[0].ln, exit, 0) {
		d.logOpenRequests()
		d.closeListener(servers[0])
		d.closeConnections(nil, exitLimit, slowRequestTime)
	}
	closeServer(servers[0])
	d.engine.Close()
	return exitLimit
}

// closeConnections closes the connections of callers, each once no request is open on it, and
// reports whether all were closed by about limit. An exit at a fixed time would cut off answers
// whenever the process gets too little CPU time, or a caller reads slowly. Connections that wait
// to be accepted by the listener count as open; those that have carried a part of a request for
// longer than slow do not, unless slow is 0.
func (d *Daemon) closeConnections(ln net.Listener, limit time.Time, slow time.Duration) bool {
	for checks := 0; ; time.Sleep(answerPollInterval) {
		now := time.Now()
		d.callerConns.CloseIdle(now, newConnTime)
		since := time.Time{}
		if slow > 0 {
			since = now.Add(-slow)
		}
		if d.callerConns.Busy(since) == 0 && httpserver.Backlog(ln) == 0 {
			return true
		}
		if now.Before(limit) {
			continue
		}
		if checks++; checks >= checksAfterLimit {
			return false
		}
	}
}

// closeListener closes a server's listener and leaves its connections open.
func (d *Daemon) closeListener(s *server) {
	if err := s.ln.Close(); err != nil {
		d.log.Warn("node: cannot close the listener", zap.String("server", s.name), zap.Error(err))
	}
}

// closeServer closes a server's listener and idle connections. It does not wait for others.
func closeServer(s *server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// The process is about to exit, which closes whatever remains open.
	_ = s.http.Shutdown(ctx)
}

// closeAll closes the servers that are still open.
func closeAll(servers []*server) {
	for _, s := range servers {
		closeServer(s)
	}
}
