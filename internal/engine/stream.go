package engine

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 1 << 20

// doneMark ends a whole stream.
const doneMark = "[DONE]"

// Chunk is one piece of an answer.
type Chunk struct {
	// Data is the JSON of the chunk as the engine sent it.
	Data string
	// IDStart and IDEnd enclose the JSON string of the id in Data, quotes included.
	IDStart, IDEnd int
	// Offset is the number of the chunk, from 0.
	Offset int
	// Finished says that a choice ends with this chunk.
	Finished bool
	// Usage is set on the chunk that closes the stream.
	Usage *Usage
	// HasChoices is false for a chunk that carries the usage alone.
	HasChoices bool
}

// Stream reads the chunks of one answer and accepts only those that belong to
// it, each once and in order.
type Stream struct {
	body      io.ReadCloser
	requestID string
	next      int // Offset of the next chunk.

	// Crossed and Repeated count chunks that were dropped because they belong to
	// another request or came before.
	Crossed, Repeated int
}

func newStream(body io.ReadCloser, requestID string, next int) *Stream {
	return &Stream{body: body, requestID: requestID, next: next}
}

// Close drops the connection. Reading ends.
func (s *Stream) Close() error { return s.body.Close() }

// Next is the offset of the first chunk not yet received.
func (s *Stream) Next() int { return s.next }

var errNoMark = errors.New("the stream closed before its end mark")

// Read calls fn with each chunk until the end mark and returns nil only if the
// end mark came. An error from fn ends reading and is returned as it is.
func (s *Stream) Read(fn func(Chunk) error) error {
	for ev, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return &CallError{Reason: outcome.EndpointDied, Ran: true, Err: err}
		}
		if ev.Data == doneMark {
			return nil
		}
		if ev.Data == "" {
			continue
		}
		c, ok, err := s.accept(ev)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if err := fn(c); err != nil {
			return err
		}
	}
	return &CallError{Reason: outcome.Truncated, Ran: true, Err: errNoMark}
}

// accept checks that an event is the next chunk of this answer.
//
// Example: after chunk 4, an event with id 4 is a repetition and is dropped; id
// 5 is accepted; id 6 means that 5 was lost, which ends the stream so that it
// can be resumed from 5.
func (s *Stream) accept(ev sse.Event) (Chunk, bool, error) {
	if !gjson.Valid(ev.Data) {
		return Chunk{}, false, &CallError{Reason: outcome.Truncated, Ran: true, Err: errors.New("a chunk is not JSON")}
	}
	id := gjson.Get(ev.Data, "id")
	if !strings.HasSuffix(id.Str, s.requestID) {
		s.Crossed++
		return Chunk{}, false, nil
	}
	offset, err := strconv.Atoi(ev.LastEventID)
	if err != nil {
		return Chunk{}, false, &CallError{Reason: outcome.Truncated, Ran: true, Err: errors.New("a chunk has no offset")}
	}
	if offset < s.next {
		s.Repeated++
		return Chunk{}, false, nil
	}
	if offset > s.next {
		return Chunk{}, false, &CallError{Reason: outcome.Truncated, Ran: true, Err: errors.New("a chunk is missing")}
	}
	s.next++
	return parseChunk(ev.Data, id, offset), true, nil
}

func parseChunk(data string, id gjson.Result, offset int) Chunk {
	c := Chunk{Data: data, IDStart: id.Index, IDEnd: id.Index + len(id.Raw), Offset: offset}
	choices := gjson.Get(data, "choices")
	c.HasChoices = choices.IsArray() && choices.Raw != "[]"
	c.Finished = c.HasChoices && choices.Get("0.finish_reason").Type == gjson.String
	if u := gjson.Get(data, "usage"); u.IsObject() {
		c.Usage = &Usage{
			PromptTokens:     int(u.Get("prompt_tokens").Int()),
			CompletionTokens: int(u.Get("completion_tokens").Int()),
			TotalTokens:      int(u.Get("total_tokens").Int()),
		}
	}
	return c
}
