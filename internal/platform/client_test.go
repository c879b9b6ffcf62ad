package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
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

const (
	slowObjectBytes = 1 << 20
	slowPieceBytes  = 32 << 10
	slowPieces      = slowObjectBytes / slowPieceBytes
	slowPieceTime   = callTimeout * 5 / 4 / slowPieces
)

// slowServer sends and reads objects of slowObjectBytes in pieces, in more than callTimeout.
func slowServer(t *testing.T) (base string) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range slowPieces {
			time.Sleep(slowPieceTime)
			if r.Method == http.MethodGet {
				_, _ = w.Write(make([]byte, slowPieceBytes))
				w.(http.Flusher).Flush()
			} else if _, err := io.CopyN(io.Discard, r.Body, slowPieceBytes); err != nil {
				t.Error(err)
				return
			}
		}
	}))
	srv.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetReadBuffer(slowPieceBytes)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL
}

// dialSmallBuffers opens connections that buffer little, so that a write takes as long as the server reads.
func dialSmallBuffers(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(slowPieceBytes)
	}
	return c, err
}

// Guards against objects that take longer than callTimeout over a slow link and are given up although they make progress.
func TestSlowTransferIsNotTakenForAFailure(t *testing.T) {
	for _, tt := range []struct {
		name string
		call func(c *Client) error
	}{
		{"read", func(c *Client) error {
			b, err := c.GetObject(t.Context(), "o")
			if err == nil && len(b) != slowObjectBytes {
				t.Errorf("expected %d bytes, got %d", slowObjectBytes, len(b))
			}
			return err
		}},
		{"write", func(c *Client) error { return c.PutObject(t.Context(), "o", make([]byte, slowObjectBytes)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			base := slowServer(t)
			began := time.Now()
			if err := tt.call(NewClientWithDial(base, "", dialSmallBuffers)); err != nil {
				t.Errorf("expected the object after %v, got %v", time.Since(began), err)
			}
			if took := time.Since(began); took < callTimeout {
				t.Errorf("expected a transfer longer than %v, took %v", callTimeout, took)
			}
		})
	}
}

// Guards against calls that wait without end for a service that is silent, or that sends or reads too slowly to be of use.
func TestStalledTransferEnds(t *testing.T) {
	for _, tt := range []struct {
		name   string
		method string
		pieces int
	}{
		{"no response", http.MethodGet, 0},
		{"silent after the first bytes", http.MethodGet, 1},
		{"one byte at a time", http.MethodGet, 1 << 10},
		{"write is not read", http.MethodPut, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for range tt.pieces {
					if _, err := w.Write([]byte{0}); err != nil {
						return
					}
					w.(http.Flusher).Flush()
					time.Sleep(callTimeout / 64)
				}
				<-ended
			}))
			defer srv.Close()
			defer close(ended)
			c := NewClientWithDial(srv.URL, "", dialSmallBuffers)
			began := time.Now()
			var err error
			if tt.method == http.MethodGet {
				_, err = c.GetObject(t.Context(), "o")
			} else {
				err = c.PutObject(t.Context(), "o", make([]byte, 16<<20))
			}
			if took := time.Since(began); err == nil || took < callTimeout || took > 2*callTimeout {
				t.Errorf("expected an error after %v, got %v after %v", callTimeout, err, took)
			}
		})
	}
}

// Guards against half of an object that is taken for the whole, and a write that counts as done, because the service, or what
// stands in front of it, closed the connection of an answer without a length.
func TestAnswerWithoutLengthIsRefused(t *testing.T) {
	for unframed, want := range map[bool]error{true: errNoLength, false: nil} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if unframed {
				w.Header().Set("Transfer-Encoding", "identity")
			}
			_, _ = io.WriteString(w, "half of an obj")
		}))
		defer srv.Close()
		c := NewClient(srv.URL, "")
		if _, err := c.GetObject(context.Background(), "x"); !errors.Is(err, want) {
			t.Errorf("read, without a length %t: expected %v, got %v", unframed, want, err)
		}
		if err := c.PutObject(context.Background(), "x", []byte("object")); !errors.Is(err, want) {
			t.Errorf("write, without a length %t: expected %v, got %v", unframed, want, err)
		}
	}
}
