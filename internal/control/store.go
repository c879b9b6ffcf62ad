// Package control stores the shared configuration in the platform's table. One row of the table holds the accepted
// version, which every box (a machine that runs the router) polls.
package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// Table is the part of the platform's table API that this package uses.
type Table interface {
	Get(ctx context.Context, key string, known int64) (platform.Row, error)
	Put(ctx context.Context, key string, w platform.Write) (int64, error)
}

// currentKey is the key of the table row that holds the accepted configuration. The version number of the row is the
// version of the configuration.
const currentKey = "config/current"

// versionKeyPrefix begins the keys of the rows that hold copies of the accepted configurations.
const versionKeyPrefix = "config/version/"

func versionKey(v int64) string { return fmt.Sprintf("%s%d", versionKeyPrefix, v) }

// IsKey reports whether a row of the table belongs to the shared configuration. The other rows are of other writers.
func IsKey(key string) bool { return key == currentKey || strings.HasPrefix(key, versionKeyPrefix) }

// Version is one accepted version of the configuration.
type Version struct {
	Number int64     `json:"-"`
	Text   string    `json:"text"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Each write has a random token. Tokens holds the tokens of the latest versions, with the token of this version
	// last. The response to a write may be lost. The writer then finds out from Tokens whether the write was accepted,
	// even if a later write replaced the version.
	Tokens []string `json:"tokens"`
}

// maxTokens is the maximum length of Version.Tokens.
const maxTokens = 32

// ConflictError means that a change was based on a version that has been replaced. Current is the accepted version, or
// 0 if that version could not be read.
type ConflictError struct{ Current int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted meanwhile", e.Current)
}

// ErrTooLarge means that a configuration does not fit into a row of the table. Nothing was written.
var ErrTooLarge = errors.New("the configuration is too large")

// UnknownError means that the response to a write was lost. It is not known whether the write took effect.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("whether the configuration was accepted is not known: %v", e.Err)
}
func (e *UnknownError) Unwrap() error { return e.Err }

// Store reads and writes the accepted configuration.
type Store struct{ table Table }

// NewStore returns a store that uses table t.
func NewStore(t Table) *Store { return &Store{t} }

// CurrentRow returns the row of the accepted version as it is stored; nil if there is none.
func CurrentRow(rows map[string][]byte) []byte { return rows[currentKey] }

// FromRows returns the accepted version from rows of the table that have already been read. It returns nil if the rows
// do not contain the accepted version.
func FromRows(rows map[string][]byte, read func(key string, text []byte) (platform.Row, error)) (*Version, error) {
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

// Load reads the accepted version. known is the number that the caller already has. If the
// accepted version has this number, Load returns platform.ErrUnchanged.
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

// Apply replaces the version with the number base by v, and returns the new number. The response to the write may be
// lost. Apply then reads the row again and looks for the token of this write.
func (s *Store) Apply(ctx context.Context, base int64, v Version) (int64, error) {
	prior, err := s.loadBase(ctx, base)
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
		return 0, s.conflictError(ctx)
	case errors.Is(err, ErrTooLarge):
		return 0, err
	default:
		if number, err = s.readBack(ctx, base, token, err); err != nil {
			return 0, err
		}
	}
	s.storeHistory(ctx, number, b)
	return number, nil
}

// loadBase reads the version that a change is based on. If that version was replaced, it returns a ConflictError.
func (s *Store) loadBase(ctx context.Context, base int64) (*Version, error) {
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

func (s *Store) conflictError(ctx context.Context) error {
	row, err := s.table.Get(ctx, currentKey, 0)
	if err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Current: row.Version}
}

// readBack determines the result of a write whose response was lost. If the row is still at the version base, the write
// may not have arrived yet. If the row has a later version, the write may have been accepted and then replaced. The
// token of version base+1 shows whether this write created that version. Nothing else shows it.
//
// Example: the write was to create version 8. The row is at version 10 with the tokens
// [.. c d e] of versions 8, 9 and 10. If c is the token of the write, the write was accepted.
func (s *Store) readBack(ctx context.Context, base int64, token string, cause error) (int64, error) {
	v, err := s.Load(ctx, 0)
	if err != nil || v.Number == base {
		return 0, &UnknownError{cause}
	}
	index := len(v.Tokens) - int(v.Number-base)
	switch {
	case index < 0 || v.Number < base:
		return 0, &UnknownError{cause}
	case v.Tokens[index] == token:
		return base + 1, nil
	}
	return 0, &ConflictError{Current: v.Number}
}

// storeHistory stores a copy of the version in a row of its own. The version is in force even if this write fails.
func (s *Store) storeHistory(ctx context.Context, number int64, b []byte) {
	_, _ = s.table.Put(ctx, versionKey(number), platform.Write{Token: "history", Value: string(b)})
}

// Get reads the stored copy of an earlier version.
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

// maxHistory is the maximum number of versions that History returns.
const maxHistory = 50

// History returns the latest versions, newest first.
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
			continue // The copy of this version was never stored.
		}
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// followInterval is how long a box waits between two reads of the accepted version.
const followInterval = time.Second

// retryInterval is how long a box waits before it reads a version again that it could not apply. Most such versions fail
// again, and each try reads the whole text.
const retryInterval = time.Minute

// FallbackSource returns a version newer than known, the version that the caller has. While the table is unavailable,
// it gets that version from elsewhere, such as another box. It returns only versions that the table has accepted.
type FallbackSource func(ctx context.Context, known int64) (*Version, error)

// Follow polls the table and calls apply with each newer version, until ctx ends. It ignores a version that is older
// than the version it last passed to apply. If apply returns an error, Follow reads the version again after
// retryInterval, and passes it to apply again.
func (s *Store) Follow(ctx context.Context, fallback FallbackSource, apply func(*Version) error, onError func(error)) {
	// known is the newest version that was passed to apply, and inForce the newest that was applied. If they differ,
	// known is tried again at retryAt.
	var known, inForce int64
	var retryAt time.Time
	for {
		newerThan := known
		if known > inForce && !time.Now().Before(retryAt) {
			newerThan = inForce
		}
		v, err := s.loadOrFallBack(ctx, newerThan, fallback)
		switch {
		case err == nil && (v.Number > known || v.Number == known && newerThan < known):
			known = v.Number
			if err := apply(v); err != nil {
				retryAt = time.Now().Add(retryInterval)
				onError(err)
			} else {
				inForce = known
			}
		case err != nil && !errors.Is(err, platform.ErrUnchanged) && !errors.Is(err, platform.ErrNotFound):
			onError(err)
		}
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return
		}
	}
}

// loadOrFallBack reads the accepted version from the table, or from fallback if the table does not answer.
func (s *Store) loadOrFallBack(ctx context.Context, known int64, fallback FallbackSource) (*Version, error) {
	v, err := s.Load(ctx, known)
	if err != nil && fallback != nil && !errors.Is(err, platform.ErrUnchanged) && !errors.Is(err, platform.ErrNotFound) {
		if fetched, fetchErr := fallback(ctx, known); fetchErr == nil {
			return fetched, nil
		}
	}
	return v, err
}

// Parse parses and validates the version's text.
func (v *Version) Parse(check func(*config.Policy) error) (*config.Shared, error) {
	c, err := config.ParseShared(fmt.Sprintf("configuration version %d", v.Number), []byte(v.Text), check)
	if err != nil {
		return nil, err
	}
	c.Version = v.Number
	return c, nil
}
