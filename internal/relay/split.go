package relay

import "bytes"

// splitter divides the text of a stream into complete events, at whatever bytes the stream was divided into reads. A line
// ends with LF, CRLF or CR, and an empty line ends an event.
type splitter struct {
	rest      []byte // The bytes after the last complete event.
	scanned   int    // The number of bytes of rest that add has looked at.
	lineStart int    // Where the last line of rest begins.
}

// add appends received bytes to the buffered bytes. It returns the complete events in the buffer, and keeps the bytes
// after the last complete event.
//
// Example: of "id: 1\ndata: a\n\nid: 2\nda" it returns the first event, with the id "1", and keeps "id: 2\nda" for the
// next call.
func (s *splitter) add(b []byte) part {
	s.rest = append(s.rest, b...)
	return s.split(false)
}

// pending returns the number of bytes after the last complete event.
func (s *splitter) pending() int { return len(s.rest) }

// finish is called at the end of the stream. It returns what is left, unless the stream has ended inside an event.
func (s *splitter) finish() (p part, inside bool) {
	p = s.split(true)
	for line := range bytes.FieldsFuncSeq(s.rest, isLineEnd) {
		if line[0] != ':' { // Not a comment.
			return p, true
		}
	}
	p.bytes = append(p.bytes, s.rest...)
	return p, false
}

func (s *splitter) split(ended bool) part {
	end, i := 0, s.scanned
	for ; i < len(s.rest); i++ {
		c, at := s.rest[i], i
		switch {
		case c == '\r' && i+1 == len(s.rest) && !ended: // A line feed of the same line end may follow.
			s.scanned = i
			return s.take(end)
		case c == '\r' && i+1 < len(s.rest) && s.rest[i+1] == '\n':
			i++
		case c != '\n' && c != '\r':
			continue
		}
		if at == s.lineStart {
			end = i + 1
		}
		s.lineStart = i + 1
	}
	s.scanned = i
	return s.take(end)
}

// take removes the first n bytes, which are complete events.
func (s *splitter) take(n int) part {
	if n == 0 {
		return part{}
	}
	whole := bytes.Clone(s.rest[:n])
	s.rest = append(s.rest[:0], s.rest[n:]...)
	s.scanned -= n
	s.lineStart -= n
	id, events := lastID(whole)
	return part{bytes: whole, lastID: id, events: events}
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// lastID returns the id of the last event that has an id, and the number n of events that have an id. An empty id is none:
// a stream can't be resumed after it.
func lastID(events []byte) (id string, n int) {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok && len(bytes.TrimSpace(v)) > 0 {
			id = string(bytes.TrimSpace(v))
			n++
		}
	}
	return id, n
}
