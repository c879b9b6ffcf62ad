// Package httphead reads the heads of HTTP/1 responses strictly, for all clients of a box. A head that is malformed, or that two
// recipients could read differently, is no answer: net/http accepts some of them, such as names that end with a blank, and
// statuses above 599.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrTooLong means that a sender sent a head's limit of bytes or lines without the end of the head.
var ErrTooLong = errors.New("too many bytes without a response to the request")

// MalformedError means that a head is malformed.
type MalformedError struct {
	// Reason says what is malformed. It has no bytes of the head.
	Reason string
}

func (e *MalformedError) Error() string { return "malformed response head: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// IsMalformed reports whether an error says that a response was malformed or too long to be one.
func IsMalformed(err error) bool {
	var e *MalformedError
	return errors.As(err, &e) || errors.Is(err, ErrTooLong)
}

// isTokenByte has the bytes of a field's name (RFC 9110, 5.6.2).
var isTokenByte = func() (is [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[b] = true
	}
	return is
}()

func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

const (
	// MaxBytes bounds the head of each response, informational ones too.
	MaxBytes = 64 << 10
	// bufferBytes is the size of the buffer of ReadResponse.
	bufferBytes = 4 << 10
	// maxStatusLineBytes bounds a status line.
	maxStatusLineBytes = 4 << 10
	// maxLines bounds the lines of a head. In memory a line takes up to 64 bytes more than it has.
	maxLines = 1000
	// maxKeptBytes bounds what is kept of a line: the version and status, or the name and value of a field that delimits the
	// body. A longer length or coding is malformed.
	maxKeptBytes = 40
	// maxLengthDigits bounds a Content-Length, so that it fits 63 bits.
	maxLengthDigits = 18
)

// state is the part of a head that the next byte belongs to.
type state uint8

const (
	inStatusLine state = iota
	atLineStart
	inName
	inValue
	done
)

// scanner checks the bytes of a response's head as they arrive, and finds its end. It is reset before each head.
type scanner struct {
	state state
	cr    bool // The last byte was a CR.
	n     int  // The bytes of the current line.
	// bytes and lines are those of the head so far.
	bytes, lines int
	// kept has the first bytes of a status line, or of a field's name and then of its value without leading blanks.
	kept   []byte
	buf    [maxKeptBytes]byte
	longer bool   // A byte that is no blank was not kept.
	name   string // The name of the current line's field if it delimits the body.
	status int
	minor  byte   // The digit of the minor version.
	length string // The Content-Length; empty if there is none.
	hasTE  bool
}

func (s *scanner) reset() {
	*s = scanner{}
	s.kept = s.buf[:0]
}

// scan checks bytes up to the end of the head or its first fault, and returns how many they are.
func (s *scanner) scan(b []byte) (int, error) {
	for i := 0; i < len(b); i++ {
		if s.state == done {
			return i, nil
		}
		if s.state == inValue && s.name == "" && !s.cr { // Most bytes of a head. Nothing of them is kept.
			start := i
			for i < len(b) && !isControl(b[i]) {
				i++
			}
			if s.bytes += i - start; s.bytes > MaxBytes {
				return i, ErrTooLong
			}
			if i == len(b) {
				return i, nil
			}
		}
		if err := s.next(b[i]); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (s *scanner) next(c byte) error {
	if s.bytes++; s.bytes > MaxBytes {
		return ErrTooLong
	}
	switch {
	case s.cr && c != '\n':
		return malformed("a CR that ends no line")
	case c == '\r':
		s.cr = true
		return nil
	case c == '\n':
		s.cr = false
		return s.endLine()
	}
	s.n++
	switch s.state {
	case inStatusLine:
		if isControl(c) || s.n > maxStatusLineBytes {
			return malformed("a control byte in the status line, or a line that is too long")
		}
		s.keep(c)
	case atLineStart, inName:
		if c == ':' && s.n > 1 {
			s.name, s.kept, s.state = framingField(s.kept), s.kept[:0], inValue
			s.longer = false
			return nil
		}
		if !isTokenByte[c] {
			return malformed("byte 0x%02x in a field's name", c)
		}
		s.state = inName
		s.keep(c)
	case inValue:
		if isControl(c) {
			return malformed("byte 0x%02x in a field's value", c)
		}
		if len(s.kept) > 0 || c != ' ' && c != '\t' {
			s.keep(c)
		}
	}
	return nil
}

const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
)

// framingField returns the name of a field that delimits the body, or nothing for other fields.
func framingField(name []byte) string {
	for _, f := range [...]string{lengthField, codingField} {
		if len(name) == len(f) && strings.EqualFold(string(name), f) {
			return f
		}
	}
	return ""
}

// keep keeps a byte of the line, if there is room.
func (s *scanner) keep(c byte) {
	switch {
	case len(s.kept) < cap(s.kept):
		s.kept = append(s.kept, c)
	case c != ' ' && c != '\t':
		s.longer = true
	}
}

func (s *scanner) endLine() error {
	if s.lines++; s.lines > maxLines {
		return fmt.Errorf("%w: more than %d lines", ErrTooLong, maxLines)
	}
	var err error
	switch s.state {
	case inStatusLine:
		err = s.parseStatusLine()
	case atLineStart:
		s.state = done
		return s.checkFraming()
	case inName:
		err = malformed("a line without a colon")
	case inValue:
		err = s.parseField()
	}
	s.state, s.n, s.kept, s.name, s.longer = atLineStart, 0, s.kept[:0], "", false
	return err
}

// parseStatusLine parses HTTP/1.x, a blank and three digits; what follows a further blank is free text.
func (s *scanner) parseStatusLine() error {
	const version = "HTTP/1."
	k := s.kept
	if len(k) < len("HTTP/1.1 200") || !bytes.HasPrefix(k, []byte(version)) || !isDigit(k[7]) || k[8] != ' ' || len(k) > 12 && k[12] != ' ' {
		return malformed("no HTTP/1 status line")
	}
	s.minor = k[7]
	for _, c := range k[9:12] {
		if !isDigit(c) {
			return malformed("a status that is not three digits")
		}
		s.status = 10*s.status + int(c-'0')
	}
	if s.status < 100 || s.status > 599 {
		return malformed("status %03d", s.status)
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parseField parses a field that delimits the body.
func (s *scanner) parseField() error {
	value := strings.TrimRight(string(s.kept), " \t")
	switch s.name {
	case lengthField:
		if s.longer || value == "" || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
			return malformed("a Content-Length that is no number")
		}
		if s.length != "" && s.length != value {
			return malformed("several lengths")
		}
		s.length = value
	case codingField:
		if s.hasTE || s.longer || !strings.EqualFold(value, "chunked") {
			return malformed("a Transfer-Encoding that is not chunked")
		}
		s.hasTE = true
	}
	return nil
}

// checkFraming checks the fields that delimit the body together (RFC 9112, 6.3).
func (s *scanner) checkFraming() error {
	bodiless := s.status < http.StatusOK || s.status == http.StatusNoContent
	switch {
	case s.hasTE && s.length != "":
		return malformed("both a Content-Length and a Transfer-Encoding")
	case s.hasTE && s.minor == '0':
		return malformed("a Transfer-Encoding in HTTP/1.0")
	case bodiless && (s.hasTE || strings.Trim(s.length, "0") != ""):
		return malformed("status %d with a body", s.status)
	}
	return nil
}

// isInterim reports whether the head is that of an informational response, after which another head follows.
func (s *scanner) isInterim() bool { return s.state == done && s.status < http.StatusOK }

// checkSwitch returns an error if a response changes the protocol and the request asked for no change.
func checkSwitch(status int, request http.Header) error {
	if status == http.StatusSwitchingProtocols && request.Get("Upgrade") == "" {
		return malformed("status 101 without a request for an upgrade")
	}
	return nil
}

// Reader is what a bufio.Reader reads a connection through. It checks the bytes of heads before net/http parses them,
// because the parsed head doesn't show what was folded, trimmed or left out.
type Reader struct {
	Src     io.Reader // The connection.
	scanner scanner
	// scanning is set from the start of a head to its end or first fault, and err is that fault.
	scanning bool
	err      error
	// bounded is set while no more than left bytes may be read. Only the goroutine that reads uses them.
	bounded bool
	left    int
}

// Bound lets the reads from now on fail with ErrTooLong after n bytes.
func (h *Reader) Bound(n int) { h.bounded, h.left = true, n }

// Read reads from the connection. No byte that follows a fault of a head is returned.
func (h *Reader) Read(b []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	if h.bounded {
		if h.left <= 0 {
			return 0, ErrTooLong
		}
		b = b[:min(len(b), h.left)]
	}
	n, err := h.Src.Read(b)
	h.left -= n
	if h.check(b[:n]); h.err != nil {
		return 0, h.err
	}
	return n, err
}

// expect lets the next bytes be checked as those of a head.
func (h *Reader) expect() {
	h.scanner.reset()
	h.scanning, h.err = true, nil
}

// check checks the bytes that belong to a head, and returns how many they are.
func (h *Reader) check(b []byte) (n int) {
	if !h.scanning {
		return 0
	}
	n, h.err = h.scanner.scan(b)
	h.scanning = h.err == nil && h.scanner.state != done
	return n
}

// ReadHead reads a head of at most maxBytes by r, which reads from h.
func (h *Reader) ReadHead(r *bufio.Reader, req *http.Request, maxBytes int) (*http.Response, error) {
	h.expect()
	h.Bound(maxBytes)
	ahead, _ := r.Peek(r.Buffered()) // Never fails.
	if h.check(ahead); h.err != nil {
		return nil, h.err
	}
	resp, err := http.ReadResponse(r, req)
	switch {
	case h.err != nil:
		return nil, h.err
	case err != nil && h.scanning:
		return nil, h.BoundError(err)
	case err != nil:
		return nil, malformed("%v", err)
	case h.scanning: // The end of the connection ended a line.
		return nil, io.ErrUnexpectedEOF
	}
	if err := checkSwitch(resp.StatusCode, req.Header); err != nil {
		return nil, err
	}
	h.bounded = false
	return resp, nil
}

// BoundError returns the error of a bounded read. What was read up to the bound may be malformed, which says less than that it
// was too long.
func (h *Reader) BoundError(err error) error {
	if h.bounded && h.left <= 0 && !errors.Is(err, ErrTooLong) {
		return fmt.Errorf("%w: %w", ErrTooLong, err)
	}
	return err
}

// ReadResponse reads a response from src. The head may have maxHead bytes. The body reads from the returned reader, without a
// bound. A malformed head is a *MalformedError.
func ReadResponse(src io.Reader, req *http.Request, maxHead int) (*http.Response, *bufio.Reader, error) {
	h := &Reader{Src: src}
	r := bufio.NewReaderSize(h, bufferBytes)
	resp, err := h.ReadHead(r, req, maxHead)
	return resp, r, err
}
