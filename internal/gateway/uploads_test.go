package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/tcpopt"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

const (
	answerPart  = "half of an answer"
	uploadBytes = 8 << 20
)

// noArchive discards records.
type noArchive struct{}

func (noArchive) Add(*record.Record) {}

// newUploadGateway returns the address of a server that passes each request on to an endpoint of a plain service. The endpoint
// reads the head of the request, answers without a length, and passes the connection to end.
func newUploadGateway(t *testing.T, repeatable bool, end func(c *net.TCPConn, r io.Reader)) (address string, m *telemetry.Metrics) {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n", answerPart)
		end(c.(*net.TCPConn), buf)
	}))
	t.Cleanup(endpoint.Close)
	m = telemetry.NewMetrics()
	g := New(Options{
		Box:      &config.Box{Name: "b", WriteTimeout: 10 * time.Second},
		Core:     decide.New(rand.New(rand.NewPCG(1, 1)), 1),
		Engines:  engine.NewClient(),
		Recorder: &account.Recorder{Metrics: m, Log: account.NewNopLog(), Records: record.NewRing(16), Archive: noArchive{}},
	})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := g.newExchange(w, r)
		x.repeatable = repeatable
		resp, _, err := x.callEndpoint(r.Context(), &config.Endpoint{Address: endpoint.Listener.Addr().String()}, &atomic.Int64{})
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		x.copyResponse(resp)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), m
}

// rawUpload sends an upload and returns the body of the answer, and whether it looks complete.
func rawUpload(t *testing.T, address string, body []byte) (text string, complete bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		_, _ = c.Write(append(fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)), body...))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	st, stErr := tcpopt.StatusOf(c) // The write of the upload may have been told of a reset.
	if stErr != nil {
		t.Fatal(stErr)
	}
	return string(b), err == nil && !st.Closed && resp.StatusCode == http.StatusOK
}

// Guards against a part of an answer that looks complete although its endpoint reset the connection, or closed its side, while
// the request was still being written.
func TestResetWhileUploadIsPassedOnEndsNoAnswer(t *testing.T) {
	const tries = 10
	for _, repeatable := range []bool{false, true} {
		for name, end := range map[string]func(*net.TCPConn, io.Reader){
			"reset":         func(c *net.TCPConn, _ io.Reader) { time.Sleep(60 * time.Millisecond); _ = c.SetLinger(0) },
			"closed unread": func(*net.TCPConn, io.Reader) { time.Sleep(60 * time.Millisecond) },
			"closed, then reset": func(c *net.TCPConn, _ io.Reader) {
				_ = c.CloseWrite()
				time.Sleep(60 * time.Millisecond)
				_ = c.SetLinger(0)
			},
		} {
			address, m := newUploadGateway(t, repeatable, end)
			complete := 0
			for range tries {
				if _, whole := rawUpload(t, address, make([]byte, uploadBytes)); whole {
					complete++
				}
			}
			if n := m.EndsRejected[h1.EndReset].Get(); complete != 0 || n != tries {
				t.Errorf("%s, repeatable %t: %d of %d parts look complete, %d ends counted as resets", name, repeatable, complete, tries, n)
			}
		}
	}
}

// Guards against a sound answer that is broken off, or a rest of its upload that is, because the endpoint closes its side before
// it has read the upload.
func TestEarlyAnswerToAnUploadStaysWhole(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
	for _, n := range []int{1, uploadBytes} {
		got := make(chan []byte, 1)
		address, _ := newUploadGateway(t, false, func(c *net.TCPConn, r io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(300 * time.Millisecond)
			b := make([]byte, n)
			_, _ = io.ReadFull(r, b)
			got <- b
		})
		if text, complete := rawUpload(t, address, body[:n]); text != answerPart || !complete {
			t.Errorf("%d bytes: expected a whole answer, got %q, complete %t", n, text, complete)
		}
		if !bytes.Equal(<-got, body[:n]) {
			t.Errorf("%d bytes: expected the endpoint to get the rest", n)
		}
	}
}

// Guards against a server that reads the rest of an upload itself before it passes the head of an early answer on.
func TestUploadThatFollowsItsEarlyAnswerArrives(t *testing.T) {
	got := make(chan string, 1)
	address, _ := newUploadGateway(t, false, func(c *net.TCPConn, r io.Reader) {
		b := make([]byte, 4)
		n, _ := io.ReadFull(r, b)
		got <- string(b[:n])
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "rest")
	if b, err := io.ReadAll(resp.Body); string(b) != answerPart || err != nil {
		t.Errorf("expected the whole answer, got %q, %v", b, err)
	}
	if b := <-got; b != "rest" {
		t.Errorf("expected the endpoint to get the rest, got %q", b)
	}
}
