package relay

import "bytes"

// splitter cuts a stream of events at their ends.
type splitter struct{ rest []byte } // What came after the last whole event.

// eventEnd ends an event; lines end with a line feed alone or after a carriage return.
var eventEnd = []byte("\n\n")

// add takes bytes as they came and returns the whole events among what is known.
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

// lastID finds the id of the last event that has one, and counts those that have.
func lastID(events []byte) (id string, n int) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
			n++
		}
	}
	return id, n
}
