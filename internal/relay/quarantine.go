package relay

import (
	"strings"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/quarantine"
)

// This file quarantines requests: a request is not sent to any endpoint if requests with the same fingerprint have
// crashed endpoints. The fingerprint is a hash of what an endpoint would run (package quarantine).

// quarantined reports whether the request must not be sent to an endpoint, because equal requests have crashed
// endpoints. The outcome is then that of the request. quarantined must be called before each call to an endpoint.
func (x *exchange) quarantined() (o outcome.Outcome, quarantined bool) {
	if x.r.o.Crashes.Empty() {
		return o, false
	}
	v := x.r.o.Crashes.Check(x.fingerprint())
	if !v.Quarantined {
		return o, false
	}
	o = outcome.Refuse(outcome.CrashesEndpoints, "fingerprint "+x.fingerprint().String()+", "+v.String())
	if x.ran {
		o.Kind = outcome.MayHaveRun
	}
	if x.begun {
		o.Kind = outcome.CutOff
	}
	return o, true
}

// suspected reports whether an equal request is known to have crashed an endpoint. The evidence may not suffice for a
// quarantine.
func (x *exchange) suspected() bool {
	return !x.r.o.Crashes.Empty() && len(x.r.o.Crashes.Check(x.fingerprint()).Crashes) > 0
}

// maxRememberedBody is the longest body, in bytes, of an answered request that is recorded while the list of crashes is
// empty. Recording needs the fingerprint of the request, which costs 1 ns for each byte of the body.
const maxRememberedBody = 64 << 10

// recordServed records that an endpoint answered the request completely without crashing.
func (x *exchange) recordServed() {
	if len(x.body) <= maxRememberedBody || !x.r.o.Crashes.Empty() {
		x.r.o.Crashes.RecordServed(x.fingerprint())
	}
}

// fingerprint returns the request's fingerprint. It is computed on first use, because most requests never need it.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.cachedFingerprint == nil {
		id := quarantine.Identity{
			Method: x.req.Method, Host: strings.ToLower(hostOnly(x.req.Host)),
			Target: x.req.RequestURI, Model: x.meta.Model, Body: x.body,
		}
		if x.account != nil {
			id.Account = x.account.Name
		}
		f := id.Fingerprint()
		x.cachedFingerprint = &f
	}
	return *x.cachedFingerprint
}
