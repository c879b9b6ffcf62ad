// Package config parses two kinds of settings. The first are the settings of one box (a machine that runs the router);
// each box has them in an INI file. The second are the shared configuration, which all boxes read from the platform's
// table. Every key is validated. Each problem names its file, line, section and key, and what was expected.
package config

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Problem is one error in the text of a configuration.
type Problem struct {
	File    string
	Line    int // Counted from 1; 0 if the problem has no line, as for a missing section.
	Section string
	Key     string
	Msg     string
}

func (p Problem) Error() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s] %s", where, p.Section, p.Msg)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", where, p.Section, p.Key, p.Msg)
}

// document is a parsed INI text. It collects all problems found in the text, so that an operator sees them together.
type document struct {
	file     string
	ini      *ini.File
	lines    map[string]int
	problems []error
}

func openDocument(file string, text []byte) (*document, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: false,
		IgnoreInlineComment:    true,
		KeyValueDelimiters:     "=",
	}, text)
	if err != nil {
		return nil, fmt.Errorf("%s: not an INI document: %w", file, err)
	}
	d := &document{file: file, ini: f, lines: map[string]int{}}
	d.indexLines(string(text))
	return d, nil
}

// indexLines stores the line of each section and key, because the INI library does not keep the lines. It also reports
// duplicate sections and keys. The library would merge duplicates silently, and the later value would replace the
// earlier one.
//
// Text inside """ is skipped, so a policy program such as
//
//	program = """
//	x = 1
//	"""
//
// does not yield a key called x.
func (d *document) indexLines(text string) {
	section, inText := "", false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		quotes := strings.Count(line, `"""`)
		if inText {
			inText = quotes%2 == 0
			continue
		}
		inText = quotes%2 == 1
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			d.recordLine(section, "", i+1)
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if ok && !strings.HasPrefix(line, "#") && !strings.HasPrefix(line, ";") {
			d.recordLine(section, strings.TrimSpace(key), i+1)
		}
	}
}

func (d *document) recordLine(section, key string, line int) {
	id := section + "\x00" + key
	if first, ok := d.lines[id]; ok {
		d.problems = append(d.problems, Problem{d.file, line, section, key,
			fmt.Sprintf("stands twice, first on line %d", first)})
		return
	}
	d.lines[id] = line
}

func (d *document) addProblem(section, key, format string, args ...any) {
	line := d.lines[section+"\x00"+key]
	if line == 0 {
		line = d.lines[section+"\x00"]
	}
	d.problems = append(d.problems, Problem{d.file, line, section, key, fmt.Sprintf(format, args...)})
}

func (d *document) err() error { return errors.Join(d.problems...) }

// sections returns the sections in the order of the text. A header such as [policy late] is split into the kind
// "policy" and the name "late".
func (d *document) sections() []*section {
	var out []*section
	for _, s := range d.ini.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				d.addProblem("", k.Name(), "stands before the first section")
			}
			continue
		}
		kind, name, _ := strings.Cut(s.Name(), " ")
		out = append(out, &section{doc: d, src: s, Kind: kind, Name: strings.TrimSpace(name), used: map[string]bool{}})
	}
	return out
}

// section gives access to the keys of one section of the text. It remembers which keys were read. reportUnknownKeys
// reports the keys that were not read.
type section struct {
	doc  *document
	src  *ini.Section
	Kind string
	Name string
	used map[string]bool
}

func (s *section) addProblem(key, format string, args ...any) {
	s.doc.addProblem(s.src.Name(), key, format, args...)
}

func (s *section) raw(key string) (string, bool) {
	s.used[key] = true
	if !s.src.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.src.Key(key).String()), true
}

func (s *section) str(key, def string) string {
	if v, ok := s.raw(key); ok {
		return v
	}
	return def
}

func (s *section) required(key, what string) string {
	v, ok := s.raw(key)
	if !ok || v == "" {
		s.addProblem(key, "is missing; expected %s", what)
	}
	return v
}

func (s *section) list(key string) []string {
	v, _ := s.raw(key)
	return strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' })
}

func (s *section) number(key string, def, min, max float64) float64 {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	// Comparisons with NaN are always false, so this form of the condition also rejects NaN.
	if err != nil || !(n >= min && n <= max) {
		s.addProblem(key, "expected a number from %g to %g, found %q", min, max, v)
		return def
	}
	return n
}

// numberOrBlank reads a number. It returns def if the key is missing or its value is empty, because a platform's
// template may leave a value empty.
func (s *section) numberOrBlank(key string, def, min, max float64) float64 {
	if v, ok := s.raw(key); !ok || v == "" {
		return def
	}
	return s.number(key, def, min, max)
}

func (s *section) integer(key string, def, min, max int) int {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < min || n > max {
		s.addProblem(key, "expected a whole number from %d to %d, found %q", min, max, v)
		return def
	}
	return n
}

func (s *section) duration(key string, def, min, max time.Duration) time.Duration {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	if v == msSuffix {
		return def
	}
	n, err := parseDuration(v)
	if err != nil || n < min || n > max {
		s.addProblem(key, "expected a duration from %s to %s such as 250ms, found %q", min, max, v)
		return def
	}
	return n
}

// msSuffix is the unit of milliseconds. If a platform has no value for a duration, its template writes only this unit.
const msSuffix = "ms"

// parseDuration parses a Go duration, or a number of milliseconds in exponent notation, which a platform may write.
//
// Example: "1.5e+04ms" is 15 seconds.
func parseDuration(v string) (time.Duration, error) {
	n, err := time.ParseDuration(v)
	if err == nil {
		return n, nil
	}
	ms, numErr := strconv.ParseFloat(strings.TrimSuffix(v, msSuffix), 64)
	if numErr != nil || !strings.HasSuffix(v, msSuffix) || !(math.Abs(ms) < float64(24*time.Hour/time.Millisecond)) {
		return 0, err
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

func (s *section) boolean(key string, def bool) bool {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseBool(v)
	if err != nil {
		s.addProblem(key, "expected true or false, found %q", v)
		return def
	}
	return n
}

// booleanOrBlank reads a boolean. It returns def if the key is missing or its value is empty.
func (s *section) booleanOrBlank(key string, def bool) bool {
	if v, ok := s.raw(key); !ok || v == "" {
		return def
	}
	return s.boolean(key, def)
}

// reportUnknownKeys reports every key that was not read.
func (s *section) reportUnknownKeys() {
	for _, k := range s.src.Keys() {
		if !s.used[k.Name()] {
			s.addProblem(k.Name(), "is not a known key of [%s]", s.Kind)
		}
	}
}
