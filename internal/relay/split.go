package relay

import "bytes"

// splitter splits a stream of bytes into complete events.
type splitter struct{ rest []byte } // The bytes after the last complete event.

// eventEnd ends an event. A carriage return may precede each line feed (see add).
var eventEnd = []byte("\n\n")

// add appends received bytes to the buffered bytes. It returns the complete events in the buffer, and keeps the bytes
// after the last complete event.
//
// Example: of "id: 1\ndata: a\n\nid: 2\nda" it returns the first event, with the id "1", and keeps "id: 2\nda" for the
// next call.
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

// lastID returns the id of the last event that has an id, and the number n of events that have an id.
func lastID(events []byte) (id string, n int) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
			n++
		}
	}
	return id, n
}
