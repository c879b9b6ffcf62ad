// Package cost is the performance model of the engines. The stand-in engines run it in real time and the benchmark in
// virtual time, so that both simulate the same engine.
package cost

import "time"

// Model describes the speed and memory of one engine.
type Model struct {
	// PrefillRate is in uncached prompt tokens per second.
	PrefillRate float64
	// PrefillBase is added to every prefill.
	PrefillBase time.Duration
	// Step and StepPerStream determine the time between tokens, which grows with the size of the batch.
	Step          time.Duration
	StepPerStream time.Duration
	// KVTokens is the KV memory in tokens.
	KVTokens int
	// KVBytesPerToken and LinkRate, in bytes per second, determine the time of a transfer.
	KVBytesPerToken int
	LinkRate        float64
	// Expiry is how long a prefill's result is kept.
	Expiry time.Duration
}

// Prefill is the time to prefill a prompt of which some tokens are cached.
func (m Model) Prefill(tokens, cached int) time.Duration {
	return m.PrefillBase + seconds(float64(max(1, tokens-cached))/m.PrefillRate)
}

// StepOf is the time between tokens in a batch of n streams.
func (m Model) StepOf(n int) time.Duration {
	return m.Step + time.Duration(n)*m.StepPerStream
}

// Transfer is the time to transfer the KV cache of that many tokens over an idle link.
func (m Model) Transfer(tokens int) time.Duration {
	return seconds(float64(tokens) * float64(m.KVBytesPerToken) / m.LinkRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
