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

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// doneMarker is the data of the event with which a complete stream ends.
const doneMarker = "[DONE]"

// Chunk is one piece of an answer.
type Chunk struct {
	// Data is the JSON of the chunk as the engine sent it.
	Data string
	// The JSON string of the answer's id is a part of Data. IDStart and IDEnd are the offsets in Data at which this
	// string starts and ends, quotes included.
	IDStart, IDEnd int
	// Offset is the number of the chunk in its stream, from 0.
	Offset int
	// Finished means that a choice (one of the alternative answers) ends with this chunk.
	Finished bool
	// Usage holds the token counts of the request. An engine sets it only on the last chunk of the stream.
	Usage *Usage
	// HasChoices is false for a chunk that carries token counts (Usage) and no text.
	HasChoices bool
}

// Stream reads the chunks of one answer. It passes on each chunk once and in order. It drops chunks of other requests.
type Stream struct {
	body      io.ReadCloser
	requestID string
	next      int // The number of the next chunk.

	// Foreign counts the dropped chunks of other requests. Repeated counts the chunks that were dropped because they
	// had been received before.
	Foreign, Repeated int
}

func newStream(body io.ReadCloser, requestID string, next int) *Stream {
	return &Stream{body: body, requestID: requestID, next: next}
}

// Close closes the connection, which makes Read return.
func (s *Stream) Close() error { return s.body.Close() }

// Next returns the number of the first chunk that has not been received.
func (s *Stream) Next() int { return s.next }

var errNoEndMarker = errors.New("the stream closed before its end marker")

// Read calls fn for each chunk. It returns nil only if the end marker arrived. If fn returns an error, Read stops and
// returns that error.
func (s *Stream) Read(fn func(Chunk) error) error {
	for ev, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return &CallError{Reason: outcome.EndpointLost, MayHaveRun: true, Err: err}
		}
		if ev.Data == doneMarker {
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
	return &CallError{Reason: outcome.Truncated, MayHaveRun: true, Err: errNoEndMarker}
}

// accept returns the chunk in an event. The bool is false if the event is dropped. A missing chunk is an error, so that
// the stream can be resumed from the missing chunk.
//
// Example: after chunk 4, an event with id 4 is a duplicate and is dropped. The event with id 5 is accepted. An event
// with id 6 means that chunk 5 was lost. The stream is then resumed from chunk 5.
func (s *Stream) accept(ev sse.Event) (Chunk, bool, error) {
	if !gjson.Valid(ev.Data) {
		return Chunk{}, false, &CallError{Reason: outcome.Truncated, MayHaveRun: true, Err: errors.New("a chunk is not JSON")}
	}
	id := gjson.Get(ev.Data, "id")
	if !strings.HasSuffix(id.Str, s.requestID) {
		s.Foreign++
		return Chunk{}, false, nil
	}
	offset, err := strconv.Atoi(ev.LastEventID)
	if err != nil {
		return Chunk{}, false, &CallError{Reason: outcome.Truncated, MayHaveRun: true, Err: errors.New("a chunk has no offset")}
	}
	if offset < s.next {
		s.Repeated++
		return Chunk{}, false, nil
	}
	if offset > s.next {
		return Chunk{}, false, &CallError{Reason: outcome.Truncated, MayHaveRun: true, Err: errors.New("a chunk is missing")}
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
