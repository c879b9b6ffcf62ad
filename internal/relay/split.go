package relay

import "bytes"

// splitter splits a stream of bytes into whole events.
type splitter struct{ rest []byte } // Bytes after the last whole event.

// eventEnd ends an event. Lines end with a line feed, with or without a carriage return before it.
var eventEnd = []byte("\n\n")

// add appends bytes as received, and returns the whole events among the buffered bytes.
//
// Example: after "id: 1\ndata: a\n\nid: 2\nda" the first event is returned with the id
// "1", and "id: 2\nda" is kept for the next call.
func (s *splitter) add(b []byte) part {
	s.rest = append(s.rest, b...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if crlf := bytes.LastIndex(s.rest, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		end = crlf + 2
	}
	if end < 0 {
		return part{}
	}
	end += len(eventEnd)
	whole := bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	id, n := lastID(whole)
	return part{bytes: whole, lastID: id, events: n}
}

// lastID returns the id of the last event with an id, and counts the events with one.
func lastID(events []byte) (id string, n int) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
			n++
		}
	}
	return id, n
}
