package httphead

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against unusual but sound heads that are refused, and against heads that are read otherwise when their bytes arrive one by one.
func TestUnusualSoundHeadsAreTaken(t *testing.T) {
	get, head := &http.Request{Method: http.MethodGet}, &http.Request{Method: http.MethodHead}
	for name, tt := range map[string]struct {
		req  *http.Request
		text string
		body string
	}{
		"no reason":            {get, "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"bare LF":              {get, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "ok"},
		"tab in reason":        {get, "HTTP/1.1 200 O\tK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"obs-text":             {get, "HTTP/1.1 200 \xe9\r\nX: \xe9\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"blanks around value":  {get, "HTTP/1.1 200 OK\r\nContent-Length: \t 2 \t\r\nX:\r\n\r\nok", "ok"},
		"no blank":             {get, "HTTP/1.1 200 OK\r\nContent-Length:2\r\n\r\nok", "ok"},
		"many blanks":          {get, "HTTP/1.1 200 OK\r\nContent-Length:" + strings.Repeat(" ", 60) + "2" + strings.Repeat(" ", 60) + "\r\n\r\nok", "ok"},
		"same length twice":    {get, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"zeros":                {get, "HTTP/1.1 200 OK\r\nContent-Length: 0002\r\n\r\nok", "ok"},
		"204 length 0":         {get, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
		"304 length":           {get, "HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n", ""},
		"304 chunked":          {get, "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		"205":                  {get, "HTTP/1.1 205 Reset\r\nContent-Length: 0\r\n\r\n", ""},
		"HEAD length":          {head, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", ""},
		"HEAD chunked":         {head, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		"Chunked":              {get, "HTTP/1.1 200 OK\r\ntransfer-encoding: \tChunked \r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		"chunks with trailers": {get, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n", "ok"},
		"HTTP/1.0":             {get, "HTTP/1.0 200 OK\r\n\r\nok", "ok"},
		"HTTP/1.0 length":      {get, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok", "ok"},
		"900 lines":            {get, "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 900) + "Content-Length: 2\r\n\r\nok", "ok"},
		"a value of 30 KB":     {get, "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 30<<10) + "\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"all bytes of a name":  {get, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: y\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a name in the reason": {get, "HTTP/1.1 200 Content-Length: 9\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a colon in the value": {get, "HTTP/1.1 200 OK\r\nX: Content-Length: 9\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a similar name":       {get, "HTTP/1.1 200 OK\r\nContent-Lengths: 9\r\nX-Content-Length: 7\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a long reason":        {get, "HTTP/1.1 200 " + strings.Repeat("x", 3000) + "\r\nContent-Length: 2\r\n\r\nok", "ok"},
	} {
		for _, src := range []io.Reader{strings.NewReader(tt.text), iotest.OneByteReader(strings.NewReader(tt.text))} {
			resp, _, err := ReadResponse(src, tt.req, MaxBytes)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			if b, err := io.ReadAll(resp.Body); err != nil || string(b) != tt.body {
				t.Errorf("%s: expected %q, got %q, %v", name, tt.body, b, err)
			}
		}
	}
}
