package transfer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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
