// Package cost is the cost model of the engines. The stand-ins run it in real
// time and the benchmark in virtual time, so that both show the same engine.
package cost

import "time"

// Model gives the speed of one engine.
type Model struct {
	// PrefillRate is uncached prompt tokens a second.
	PrefillRate float64
	// PrefillBase is added to every prefill.
	PrefillBase time.Duration
	// Step and StepPerStream give the time between tokens: the step of a batch
	// slows with its size.
	Step          time.Duration
	StepPerStream time.Duration
	// KVTokens is the KV memory in tokens.
	KVTokens int
	// KVBytesPerToken and LinkRate (bytes a second) give the time of a transfer.
	KVBytesPerToken int
	LinkRate        float64
	// Expiry is how long a prefill's result is kept.
	Expiry time.Duration
}

// Prefill is the time to read a prompt of which cached tokens are cached.
func (m Model) Prefill(tokens, cached int) time.Duration {
	return m.PrefillBase + seconds(float64(max(1, tokens-cached))/m.PrefillRate)
}

// StepOf is the time between tokens in a batch of n streams.
func (m Model) StepOf(n int) time.Duration {
	return m.Step + time.Duration(n)*m.StepPerStream
}

// Transfer is the time a KV cache of that many tokens takes on an idle link.
func (m Model) Transfer(tokens int) time.Duration {
	return seconds(float64(tokens) * float64(m.KVBytesPerToken) / m.LinkRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
