// Package cost is the performance model of the engines. The stand-in engines use it in real time, and the benchmark
// uses it in virtual time. So the stand-in engines and the benchmark simulate the same engine.
package cost

import "time"

// Model describes the speed and memory of one engine.
type Model struct {
	// PrefillRate is how many prompt tokens the engine computes per second. Cached tokens do not count.
	PrefillRate float64
	// PrefillBase is the fixed part of the duration of each prefill.
	PrefillBase time.Duration
	// The time between two tokens of a stream is Step plus StepPerStream for each stream in the batch.
	Step          time.Duration
	StepPerStream time.Duration
	// KVTokens is the size of the engine's KV memory, in tokens.
	KVTokens int
	// KVBytesPerToken and LinkRate determine how long a transfer of KV cache lasts. LinkRate is in bytes per second.
	KVBytesPerToken int
	LinkRate        float64
	// Expiry is how long the engine keeps the result of a prefill.
	Expiry time.Duration
}

// Prefill returns the time to prefill a prompt. It is given the number of tokens and how many of them are cached.
func (m Model) Prefill(tokens, cached int) time.Duration {
	return m.PrefillBase + seconds(float64(max(1, tokens-cached))/m.PrefillRate)
}

// StepOf returns the time between two tokens of a stream in a batch of n streams.
func (m Model) StepOf(n int) time.Duration {
	return m.Step + time.Duration(n)*m.StepPerStream
}

// Transfer returns the time to transfer the KV cache of the given number of tokens over an idle link.
func (m Model) Transfer(tokens int) time.Duration {
	return seconds(float64(tokens) * float64(m.KVBytesPerToken) / m.LinkRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
