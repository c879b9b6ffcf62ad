// Package control keeps the shared configuration in the platform's table: one
// row holds the accepted version, and every box follows it.
package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// Table is the part of the platform's table that the configuration needs.
type Table interface {
	Get(ctx context.Context, key string, known int64) (platform.Row, error)
	Put(ctx context.Context, key string, w platform.Write) (int64, error)
}

// currentKey is the row of the accepted configuration; its row version is the
// configuration's version.
const currentKey = "config/current"

func versionKey(v int64) string { return fmt.Sprintf("config/version/%d", v) }

// Version is one accepted configuration.
type Version struct {
	Number int64     `json:"-"`
	Text   string    `json:"text"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Tokens are those of the newest versions up to this one, newest last, so that
	// a writer whose answer was lost can tell whether it was ever accepted.
	Tokens []string `json:"tokens"`
}

// maxTokens bounds Version.Tokens.
const maxTokens = 32

// ConflictError means that another version was accepted meanwhile.
type ConflictError struct{ Current int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted meanwhile", e.Current)
}

// ErrTooLarge means that a configuration does not fit into the table. Nothing was written.
var ErrTooLarge = errors.New("the configuration is too large")

// UnknownError means that the table did not say whether the write took effect.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("whether the configuration was accepted is not known: %v", e.Err)
}
func (e *UnknownError) Unwrap() error { return e.Err }

// Store reads and writes the accepted configuration.
type Store struct{ table Table }

// NewStore returns a store in t.
func NewStore(t Table) *Store { return &Store{t} }

// Current finds the accepted version among the rows of the table; nil if there is none.
func Current(rows map[string][]byte, read func(key string, text []byte) (platform.Row, error)) (*Version, error) {
	text, ok := rows[currentKey]
	if !ok {
		return nil, nil
	}
	row, err := read(currentKey, text)
	if err != nil {
		return nil, err
	}
	return decode(row)
}

// Load reads the accepted version unless it is the known one, which yields
// platform.ErrUnchanged.
func (s *Store) Load(ctx context.Context, known int64) (*Version, error) {
	row, err := s.table.Get(ctx, currentKey, known)
	if err != nil {
		return nil, err
	}
	return decode(row)
}

func decode(row platform.Row) (*Version, error) {
	v := &Version{Number: row.Version}
	if err := json.Unmarshal([]byte(row.Value), v); err != nil {
		return nil, fmt.Errorf("control: version %d: %w", row.Version, err)
	}
	return v, nil
}

// Apply accepts v in place of version base. A lost answer is resolved by reading
// the row back and looking for the token of this very write.
func (s *Store) Apply(ctx context.Context, base int64, v Version) (int64, error) {
	prior, err := s.base(ctx, base)
	if err != nil {
		return 0, err
	}
	token := rand.Text()
	v.Tokens = append(slices.Clone(prior.Tokens), token)
	v.Tokens = v.Tokens[max(0, len(v.Tokens)-maxTokens):]
	b, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	number, err := s.table.Put(ctx, currentKey, platform.Write{IfVersion: base, Token: token, Value: string(b)})
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		return 0, s.conflict(ctx)
	case errors.Is(err, ErrTooLarge):
		return 0, err
	default:
		if number, err = s.readBack(ctx, base, token, err); err != nil {
			return 0, err
		}
	}
	s.keep(ctx, number, b)
	return number, nil
}

// base reads the version a change is made from.
func (s *Store) base(ctx context.Context, base int64) (*Version, error) {
	v, err := s.Load(ctx, 0)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		v = &Version{}
	case err != nil:
		return nil, fmt.Errorf("nothing was written: %w", err)
	}
	if v.Number != base {
		return nil, &ConflictError{Current: v.Number}
	}
	return v, nil
}

func (s *Store) conflict(ctx context.Context) error {
	row, err := s.table.Get(ctx, currentKey, 0)
	if err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Current: row.Version}
}

// readBack tells what became of a write without an answer. The row still at base
// does not prove that the write failed: it may be on its way. A later version does
// not prove it either: ours may have been accepted and then replaced. Only the
// token at our place among the last ones tells.
//
// Example: our write was to become version 8. The row is at version 10 with the
// tokens [.. c d e]: those of 8, 9 and 10. If c is ours we were accepted.
func (s *Store) readBack(ctx context.Context, base int64, token string, cause error) (int64, error) {
	v, err := s.Load(ctx, 0)
	if err != nil || v.Number == base {
		return 0, &UnknownError{cause}
	}
	place := len(v.Tokens) - int(v.Number-base)
	switch {
	case place < 0 || v.Number < base:
		return 0, &UnknownError{cause}
	case v.Tokens[place] == token:
		return base + 1, nil
	}
	return 0, &ConflictError{Current: v.Number}
}

// keep files the text for the history. The version is in force whether or not
// this succeeds.
func (s *Store) keep(ctx context.Context, number int64, b []byte) {
	_, _ = s.table.Put(ctx, versionKey(number), platform.Write{Token: "history", Value: string(b)})
}

// Get reads an earlier version.
func (s *Store) Get(ctx context.Context, number int64) (*Version, error) {
	row, err := s.table.Get(ctx, versionKey(number), 0)
	if err != nil {
		return nil, err
	}
	v, err := decode(row)
	if err == nil {
		v.Number = number
	}
	return v, err
}

// maxHistory bounds the versions listed.
const maxHistory = 50

// History lists the newest versions, newest first.
func (s *Store) History(ctx context.Context) ([]*Version, error) {
	current, err := s.Load(ctx, 0)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	out := []*Version{current}
	for n := current.Number - 1; n > 0 && len(out) < maxHistory; n-- {
		v, err := s.Get(ctx, n)
		if errors.Is(err, platform.ErrNotFound) {
			continue // Its history write was lost.
		}
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// followEvery is how often a box asks for a newer version.
const followEvery = time.Second

// Source finds a newer version elsewhere while the table does not answer. It only
// ever returns versions that the table has accepted.
type Source func(ctx context.Context, known int64) (*Version, error)

// Follow calls apply with each newer version until ctx ends. Versions only grow:
// an answer that is older than what is in force is ignored, whatever the reason.
func (s *Store) Follow(ctx context.Context, other Source, apply func(*Version) error, failed func(error)) {
	var known int64
	for {
		v, err := s.Load(ctx, known)
		if err != nil && other != nil && !errors.Is(err, platform.ErrUnchanged) && !errors.Is(err, platform.ErrNotFound) {
			if passed, passErr := other(ctx, known); passErr == nil {
				v, err = passed, nil
			}
		}
		switch {
		case err == nil && v.Number > known:
			known = v.Number
			if err := apply(v); err != nil {
				failed(err)
			}
		case err != nil && !errors.Is(err, platform.ErrUnchanged) && !errors.Is(err, platform.ErrNotFound):
			failed(err)
		}
		select {
		case <-time.After(followEvery):
		case <-ctx.Done():
			return
		}
	}
}

// Parse checks a version's text.
func (v *Version) Parse(check func(*config.Policy) error) (*config.Shared, error) {
	c, err := config.ParseShared(fmt.Sprintf("configuration version %d", v.Number), []byte(v.Text), check)
	if err != nil {
		return nil, err
	}
	c.Version = v.Number
	return c, nil
}
