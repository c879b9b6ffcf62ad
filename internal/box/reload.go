package box

import (
	"maps"
	"os"
	"slices"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
)

// reloadOnSignal reloads the settings on each signal that arrives on hup.
func (b *RelayBox) reloadOnSignal(hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
			b.reload()
		case <-b.ctx.Done():
			return
		}
	}
}

// reload applies the settings that can change in a running box. It logs the changed settings that need a restart.
// Invalid settings change nothing. Running requests are not affected.
func (b *RelayBox) reload() {
	if b.Reload == nil {
		b.log.Info("reload", zap.String("outcome", "this box cannot reload its settings"))
		return
	}
	read, err := b.Reload()
	if err != nil {
		b.log.Error("reload", zap.String("outcome", "nothing changed"), zap.Error(err))
		return
	}
	old := b.settings.Load()
	next := *old
	changed := applyReloadable(&next, read)
	b.settings.Store(&next)
	b.Relay.SetMaxWaiting(next.Queue)
	b.setQuotaBounds(&next)
	b.recorder.Log.SetRate(next.LoggedRate)
	b.log.Info("reload", zap.Strings("changed", changed), zap.Strings("needs_restart", restartOnly(old, read)))
}

// applyReloadable copies settings from read to next. It copies only settings that can change in a running box. It
// returns the names of the settings that changed.
func applyReloadable(next, read *config.Relay) (changed []string) {
	note := func(name string, differs bool) {
		if differs {
			changed = append(changed, name)
		}
	}
	note("queue", next.Queue != read.Queue)
	note("linger", next.GracePeriod != read.GracePeriod)
	note("stop_timeout", next.StopTimeout != read.StopTimeout)
	note("logged_rate", next.LoggedRate != read.LoggedRate)
	note("key_sha256", next.OperatorKeySHA256 != read.OperatorKeySHA256)
	note("retry_slack", next.RetrySlack != read.RetrySlack)
	note("retry_share", next.RetryShare != read.RetryShare)
	note("retry_window_s", next.RetryWindow != read.RetryWindow)
	note("limit_window_s", next.LimitWindow != read.LimitWindow)
	note("limit_overage", next.LimitOverage != read.LimitOverage)
	note("limit_slack", next.LimitSlack != read.LimitSlack)
	next.LimitWindow, next.LimitOverage, next.LimitSlack = read.LimitWindow, read.LimitOverage, read.LimitSlack
	next.Queue, next.GracePeriod, next.StopTimeout = read.Queue, read.GracePeriod, read.StopTimeout
	next.LoggedRate, next.OperatorKeySHA256 = read.LoggedRate, read.OperatorKeySHA256
	next.RetrySlack, next.RetryShare, next.RetryWindow = read.RetrySlack, read.RetryShare, read.RetryWindow
	return changed
}

// restartOnly returns the names of settings that differ between old and read. It lists only settings that take effect
// after a restart.
func restartOnly(old, read *config.Relay) (names []string) {
	settings := []struct {
		name  string
		equal bool
	}{
		{"name", old.Name == read.Name},
		{"region", old.Region == read.Region},
		{"hall", old.Hall == read.Hall && maps.Equal(old.Halls, read.Halls)},
		{"memory_mb", old.MemoryMB == read.MemoryMB},
		{"link_mbps", old.LinkMbps == read.LinkMbps},
		{"callers", old.Callers == read.Callers && old.HeaderTimeout == read.HeaderTimeout && old.IdleTimeout == read.IdleTimeout},
		{"readiness", old.Readiness == read.Readiness},
		{"operators", old.Operators == read.Operators && old.OpenMetrics == read.OpenMetrics},
		{"cold_over", old.ColdRateFactor == read.ColdRateFactor && old.ColdRateSlack == read.ColdRateSlack},
		{"peers", old.Peers == read.Peers && old.PeersAddress == read.PeersAddress && slices.Equal(old.Seeds, read.Seeds)},
		{"store", old.Store == read.Store && old.RereadWithin == read.RereadWithin && old.LeavingWithin == read.LeavingWithin && old.ConfigWithin == read.ConfigWithin},
	}
	for _, s := range settings {
		if !s.equal {
			names = append(names, s.name)
		}
	}
	slices.Sort(names)
	return names
}
