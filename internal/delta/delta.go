// Package delta encodes a text as its difference to an earlier text. A delta of a long configuration in which one route
// changed has some hundred bytes, however long the configuration is.
package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxBytes bounds a text and its base.
const MaxBytes = 16 << 20

const (
	// dictionaryID names the base in a delta. Base and text are told by Sum instead.
	dictionaryID = 1
	// The levels of compression by size. A lower level has a smaller table of positions, and finds nothing in the
	// beginning of a long base.
	fastestBelow = 64 << 10
	defaultBelow = 1 << 20
)

// ErrTooLong means that a text is longer than MaxBytes.
var ErrTooLong = errors.New("the text is too long for a delta")

// Sum identifies a text.
func Sum(text []byte) uint64 { return xxhash.Sum64(text) }

func level(bytes int) zstd.EncoderLevel {
	switch {
	case bytes < fastestBelow:
		return zstd.SpeedFastest
	case bytes < defaultBelow:
		return zstd.SpeedDefault
	}
	return zstd.SpeedBetterCompression
}

// window returns the smallest window that covers a number of bytes.
func window(size int) int {
	return max(zstd.MinWindowSize, 1<<bits.Len(uint(size-1)))
}

// Encode returns the difference of a text to its base.
func Encode(base, text []byte) ([]byte, error) {
	if len(base) > MaxBytes || len(text) > MaxBytes {
		return nil, ErrTooLong
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderLevel(level(len(base))),
		zstd.WithWindowSize(window(len(base)+len(text))), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	defer w.Close()
	return w.EncodeAll(text, nil), nil
}

// Decode returns the text whose difference to base is d.
func Decode(base, d []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxBytes), zstd.WithDecoderMaxWindow(uint64(window(2*MaxBytes))))
	if err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	defer r.Close()
	text, err := r.DecodeAll(d, nil)
	if err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return text, nil
}
