package node

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// settingsPollInterval is the interval at which the settings are reloaded without a
// signal, as they may change without one.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on each signal and periodically. Invalid settings
// are ignored; their error is logged once, or again on a signal.
func (d *Daemon) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastError := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-d.reloadSignals:
			signalled = true
		case <-t.C:
		}
		set, err := d.loadSettings()
		switch {
		case err == nil:
			lastError = ""
			d.applySettings(set, signalled)
		case err.Error() != lastError || signalled:
			lastError = err.Error()
			d.log.Error("node: invalid settings ignored, previous settings stay in force", zap.Error(err))
		}
	}
}

// applySettings puts new settings in force. Settings that only a restart can change
// keep their values, and a warning is logged if they differ.
func (d *Daemon) applySettings(set *Settings, signalled bool) {
	old := d.settings.Load()
	if reflect.DeepEqual(old, set) {
		if signalled {
			d.log.Info("node: settings reloaded, no changes")
		}
		return
	}
	if restartOnly(old) != restartOnly(set) {
		d.log.Warn("node: changes of name, location or addresses require a restart")
	}
	merged := *set
	merged.keepRestartOnly(old)
	d.settings.Store(&merged)
	d.engine.SetBudget(set.RetryBudget)
	d.syncer.setBound(set.ChangeBound)
	d.publishCapacity()
	d.log.Info("node: settings changed",
		zap.Duration("change_bound", set.ChangeBound), zap.Duration("grace", set.Grace),
		zap.Float64("retry_ratio", set.RetryBudget.Ratio), zap.Float64("retry_allowance", set.RetryBudget.Allowance))
}

// restartOnlySettings holds the settings that only a restart can change.
type restartOnlySettings struct {
	vm, dataCentre, region                                        string
	caller, ready, directory, peer, peerListen, metrics, platform string
}

func restartOnly(s *Settings) restartOnlySettings {
	return restartOnlySettings{
		vm: s.VM, dataCentre: s.DataCentre, region: s.Region,
		caller: s.CallerAddress, ready: s.ReadyAddress, directory: s.DirectoryAddress,
		peer: s.PeerAddress, peerListen: s.PeerListen, metrics: s.MetricsAddress, platform: s.StoreAddress,
	}
}

func (s *Settings) keepRestartOnly(from *Settings) {
	s.VM, s.DataCentre, s.Region = from.VM, from.DataCentre, from.Region
	s.CallerAddress, s.ReadyAddress, s.DirectoryAddress = from.CallerAddress, from.ReadyAddress, from.DirectoryAddress
	s.PeerAddress, s.PeerListen = from.PeerAddress, from.PeerListen
	s.MetricsAddress, s.StoreAddress = from.MetricsAddress, from.StoreAddress
}

// ReloadOptions defines how the settings of a running daemon are reloaded.
type ReloadOptions struct {
	// Load reads the current settings.
	Load func() (*Settings, error)
	// Signals triggers an immediate reload.
	Signals <-chan os.Signal
}
