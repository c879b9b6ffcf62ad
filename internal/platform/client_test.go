package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// An answer over the size limit must be an error. A cut object looks like a whole one to the caller.
func TestAnswerOverLimit(t *testing.T) {
	for _, tt := range []struct {
		name string
		size int
		want error
	}{
		{"at the limit", maxResponseBytes, nil},
		{"over the limit", maxResponseBytes + 1, errTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, tt.size))
			}))
			defer srv.Close()
			b, err := NewClient(srv.URL, "").GetObject(context.Background(), "o")
			if !errors.Is(err, tt.want) || tt.want == nil && len(b) != tt.size {
				t.Errorf("expected %v, got %d bytes, %v", tt.want, len(b), err)
			}
		})
	}
}
