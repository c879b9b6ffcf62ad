package httphead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stoatramp/stoatramp/internal/httphead"
)

// BenchmarkReadResponse reads a usual head, with the buffer that is made for it.
func BenchmarkReadResponse(b *testing.B) {
	head := okHead + "Content-Type: text/event-stream\r\nX-Request-Id: 0123456789abcdef\r\nX-Server-Signature: signed-by-w1\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nContent-Length: 0\r\n\r\n"
	req := &http.Request{Method: http.MethodGet}
	for b.Loop() {
		if _, _, err := httphead.ReadResponse(strings.NewReader(head), req, httphead.MaxBytes); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReadResponseUnchecked reads the same head by net/http only.
func BenchmarkReadResponseUnchecked(b *testing.B) {
	head := okHead + "Content-Type: text/event-stream\r\nX-Request-Id: 0123456789abcdef\r\nX-Server-Signature: signed-by-w1\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nContent-Length: 0\r\n\r\n"
	req := &http.Request{Method: http.MethodGet}
	for b.Loop() {
		if _, err := http.ReadResponse(bufio.NewReaderSize(strings.NewReader(head), 4<<10), req); err != nil {
			b.Fatal(err)
		}
	}
}
