package box

import (
	"maps"
	"os"
	"slices"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
)

// heed reads the settings again whenever a signal asks for it.
func (b *RelayBox) heed(hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
			b.reload()
		case <-b.ctx.Done():
			return
		}
	}
}

// reload takes what can change in a running box. What cannot is said and stays as it was;
// settings with a fault change nothing. Requests that run are not touched.
func (b *RelayBox) reload() {
	if b.Reload == nil {
		b.log.Info("reload", zap.String("outcome", "the settings of this box cannot be read again"))
		return
	}
	read, err := b.Reload()
	if err != nil {
		b.log.Error("reload", zap.String("outcome", "nothing changed"), zap.Error(err))
		return
	}
	old := b.settings.Load()
	next := *old
	changed := adopt(&next, read)
	b.settings.Store(&next)
	b.Relay.SetQueue(next.Queue)
	b.setBounds(&next)
	b.book.Log.SetRate(next.LoggedRate)
	b.log.Info("reload", zap.Strings("changed", changed), zap.Strings("needs_restart", fixed(old, read)))
}

// adopt takes the settings that a running box can change, and names those that did.
func adopt(next, read *config.Relay) (changed []string) {
	take := func(name string, differs bool) {
		if differs {
			changed = append(changed, name)
		}
	}
	take("queue", next.Queue != read.Queue)
	take("linger", next.Linger != read.Linger)
	take("stop_timeout", next.StopTimeout != read.StopTimeout)
	take("logged_rate", next.LoggedRate != read.LoggedRate)
	take("key_sha256", next.OperatorKeySHA256 != read.OperatorKeySHA256)
	take("retry_slack", next.RetrySlack != read.RetrySlack)
	take("retry_share", next.RetryShare != read.RetryShare)
	take("retry_window_s", next.RetryWindow != read.RetryWindow)
	take("limit_window_s", next.LimitWindow != read.LimitWindow)
	take("limit_overage", next.LimitOverage != read.LimitOverage)
	take("limit_slack", next.LimitSlack != read.LimitSlack)
	next.LimitWindow, next.LimitOverage, next.LimitSlack = read.LimitWindow, read.LimitOverage, read.LimitSlack
	next.Queue, next.Linger, next.StopTimeout = read.Queue, read.Linger, read.StopTimeout
	next.LoggedRate, next.OperatorKeySHA256 = read.LoggedRate, read.OperatorKeySHA256
	next.RetrySlack, next.RetryShare, next.RetryWindow = read.RetrySlack, read.RetryShare, read.RetryWindow
	return changed
}

// fixed names the settings that differ and that only a restart changes.
func fixed(old, read *config.Relay) (names []string) {
	same := []struct {
		name  string
		equal bool
	}{
		{"name", old.Name == read.Name},
		{"region", old.Region == read.Region},
		{"hall", old.Hall == read.Hall && maps.Equal(old.Halls, read.Halls)},
		{"memory_mb", old.MemoryMB == read.MemoryMB},
		{"callers", old.Callers == read.Callers && old.HeaderTimeout == read.HeaderTimeout && old.IdleTimeout == read.IdleTimeout},
		{"readiness", old.Readiness == read.Readiness},
		{"operators", old.Operators == read.Operators && old.OpenMetrics == read.OpenMetrics},
		{"cold_over", old.ColdOver == read.ColdOver && old.ColdSlack == read.ColdSlack},
		{"peers", old.Peers == read.Peers && old.PeersAddress == read.PeersAddress && slices.Equal(old.Seeds, read.Seeds)},
		{"store", old.Store == read.Store && old.RereadWithin == read.RereadWithin && old.LeavingWithin == read.LeavingWithin && old.ConfigWithin == read.ConfigWithin},
	}
	for _, s := range same {
		if !s.equal {
			names = append(names, s.name)
		}
	}
	slices.Sort(names)
	return names
}
