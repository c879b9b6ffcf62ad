package quarantine

import (
	"fmt"
	"runtime"
	"testing"
)

// fullList returns a list at its bound of crashes, each with the parts of 16 streams.
func fullList() *List {
	l := NewList()
	crashThree(l, func(int) []string { return []string{"shared", "bad"} })
	for n := range maxPartCrashes - 3 {
		for stream := range 15 {
			crashUnder(l, fmt.Sprint("f", n), fmt.Sprint("r", n, stream), "shared", fmt.Sprint("p", n, stream))
		}
		l.RecordLasted(partsOf("shared"))
	}
	return l
}

// BenchmarkCheckParts measures the check before each call while a part is suspected.
func BenchmarkCheckParts(b *testing.B) {
	l, parts := fullList(), partsOf("shared", "x", "y")
	for b.Loop() {
		l.CheckParts(parts, noAccount)
	}
}

// BenchmarkRecordLasted measures the record of a run with parts that no crash names.
func BenchmarkRecordLasted(b *testing.B) {
	l, parts := fullList(), partsOf("x", "y", "z")
	for b.Loop() {
		l.RecordLasted(parts)
	}
}

// BenchmarkUpdateParts measures the search for the parts that explain the crashes, with as many crashes as a box records.
func BenchmarkUpdateParts(b *testing.B) {
	l := fullList()
	for b.Loop() {
		l.verifyParts()
	}
}

// BenchmarkFullList reports the memory of a list at its bound.
func BenchmarkFullList(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := fullList()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxPartCrashes, "B/crash")
		runtime.KeepAlive(l)
	}
}
