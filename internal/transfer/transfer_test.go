package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestRoundTripperCountsBodies(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	defer srv.Close()
	total := 0
	p := NewProgress(func(n int) { total += n })
	req, err := http.NewRequestWithContext(WithProgress(context.Background(), p), http.MethodGet, srv.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: RoundTripper{Base: http.DefaultTransport}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got := p.String(); !strings.HasPrefix(got, "no byte arrived") {
		t.Errorf("before the body was read: %s", got)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	if got := p.String(); !strings.HasPrefix(got, "5 bytes arrived") || p.Bytes() != 5 || total != 5 {
		t.Errorf("expected 5 bytes, got %d, %d, %s", p.Bytes(), total, got)
	}
	if p.Done(); p.Bytes() != 0 {
		t.Errorf("expected no bytes of the next message, got %d", p.Bytes())
	}
}

func TestTimeFromFirstToLastBytes(t *testing.T) {
	p := NewProgress(nil)
	time.Sleep(20 * time.Millisecond) // The wait for the response does not count.
	began := time.Now()
	p.Add(1)
	if got := p.Took(); got != 0 {
		t.Errorf("expected no time after the first bytes, got %v", got)
	}
	time.Sleep(30 * time.Millisecond)
	p.Add(1)
	if got, most := p.Took(), time.Since(began); got < 30*time.Millisecond || got > most {
		t.Errorf("expected 30ms to %v, got %v", most, got)
	}
	if p.Done(); p.Took() != 0 {
		t.Errorf("expected no time of the next message, got %v", p.Took())
	}
}

// A body of one long chunk is read with a buffer that the chunk does not fill soon.
func TestBytesOfAChunkCountAsTheyArrive(t *testing.T) {
	const half = 10 * maxReadBytes
	rest := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*half, make([]byte, half))
		_ = out.Flush()
		<-rest
		_, _ = fmt.Fprintf(out, "%s\r\n0\r\n\r\n", make([]byte, half))
		_ = out.Flush()
	}))
	defer srv.Close()
	halfRead := make(chan struct{})
	total := 0
	p := NewProgress(func(n int) {
		if total += n; total == half {
			close(halfRead)
		}
	})
	req, err := http.NewRequestWithContext(WithProgress(context.Background(), p), http.MethodGet, srv.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-halfRead
		close(rest)
	}()
	resp, err := (&http.Client{Transport: RoundTripper{Base: http.DefaultTransport}, Timeout: 30 * time.Second}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.ReadFull(resp.Body, make([]byte, 2*half)); err != nil {
		t.Errorf("read %d bytes: %v", n, err)
	}
}
