package node

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// settingsPoll is how often the settings are read again: they may change without
// a signal.
const settingsPoll = 2 * time.Second

// watchSettings reads the settings again at each signal and now and then. Faulty
// settings are reported once and change nothing.
func (n *Node) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	faulty := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-n.reloads:
			signalled = true
		case <-t.C:
		}
		set, err := n.load()
		switch {
		case err == nil:
			faulty = ""
			n.apply(set, signalled)
		case err.Error() != faulty || signalled:
			faulty = err.Error()
			n.log.Error("node: settings refused, the former stay in force", zap.Error(err))
		}
	}
}

// apply puts settings in force. Addresses and the place of the VM stay as they
// were at the start; a change of them is reported.
func (n *Node) apply(set *Settings, signalled bool) {
	old := n.set.Load()
	if reflect.DeepEqual(old, set) {
		if signalled {
			n.log.Info("node: settings read again, nothing changed")
		}
		return
	}
	if fixed(old) != fixed(set) {
		n.log.Warn("node: a change of name, place or addresses takes a restart")
	}
	merged := *set
	merged.keepFixed(old)
	n.set.Store(&merged)
	n.engine.SetBudget(set.Budget)
	n.reader.setBound(set.ChangeBound)
	n.showCapacity()
	n.log.Info("node: settings changed",
		zap.Duration("change_bound", set.ChangeBound), zap.Duration("grace", set.Grace),
		zap.Float64("retry_ratio", set.Budget.Ratio), zap.Float64("retry_allowance", set.Budget.Allowance))
}

// fixedSettings is what stays as it was at the start.
type fixedSettings struct {
	vm, dataCentre, region                                        string
	caller, ready, directory, peer, peerListen, metrics, platform string
}

func fixed(s *Settings) fixedSettings {
	return fixedSettings{
		vm: s.VM, dataCentre: s.DataCentre, region: s.Region,
		caller: s.CallerAddress, ready: s.ReadyAddress, directory: s.DirectoryAddress,
		peer: s.PeerAddress, peerListen: s.PeerListen, metrics: s.MetricsAddress, platform: s.Store,
	}
}

func (s *Settings) keepFixed(from *Settings) {
	s.VM, s.DataCentre, s.Region = from.VM, from.DataCentre, from.Region
	s.CallerAddress, s.ReadyAddress, s.DirectoryAddress = from.CallerAddress, from.ReadyAddress, from.DirectoryAddress
	s.PeerAddress, s.PeerListen = from.PeerAddress, from.PeerListen
	s.MetricsAddress, s.Store = from.MetricsAddress, from.Store
}

// Reloading is how a running node's settings change.
type Reloading struct {
	// Load reads the settings anew.
	Load func() (*Settings, error)
	// Signals asks for it at once.
	Signals <-chan os.Signal
}
