package box

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
)

// An engine may change its role under the same name and address. Only prefill engines are asked for cache events: an
// engine with its old role would not be asked, or would be asked in vain.
func TestProberFollowsRole(t *testing.T) {
	configWith := func(role config.Role) *config.Shared {
		return &config.Shared{Endpoints: []*config.Endpoint{{Name: "e", Address: "10.0.0.1:1", Role: role}}}
	}
	p := newProber(nil, nil)
	now := time.Now()
	p.setConfig(configWith(config.RoleDecode))
	p.nextProbe(now)
	p.setConfig(configWith(config.RolePrefill))
	if e := p.nextEventRead(now); e == nil {
		t.Error("expected cache events to be requested of an engine that has become a prefill engine")
	}
	p.setConfig(configWith(config.RoleDecode))
	if e := p.nextEventRead(now.Add(2 * eventsInterval)); e != nil {
		t.Error("expected no cache events to be requested of an engine that has become a decode engine")
	}
	if e := p.nextProbe(now.Add(minProbeAge / 2)); e != nil {
		t.Error("expected the age of the last report to be kept when the role changes")
	}
}
