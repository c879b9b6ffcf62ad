package httphead_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/httphead"
)

// server answers each request on a connection of the loopback with what write writes, and closes the connection.
func server(t testing.TB, write func(c net.Conn)) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c)
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// transportGet sends a GET request by a StrictTransport, and returns the status and the body.
func transportGet(t *httphead.Transport, address string) (int, string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// poolGet does the same by a Pool.
func poolGet(p *h1.Pool, address string) (int, string, error) {
	resp, err := p.Do(context.Background(), &h1.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return 0, "", err
	}
	b, err := h1.ReadLimited(resp, 1<<20)
	return resp.StatusCode, string(b), err
}

func newStrict(onMalformed func(string, error)) *httphead.Transport {
	return httphead.NewTransport(&http.Transport{DisableKeepAlives: true}, onMalformed)
}

const okHead = "HTTP/1.1 200 OK\r\n"

// Guards against a client of another part of the box that takes a malformed head for an answer.
func TestAllClientsRefuseMalformedHeads(t *testing.T) {
	for _, text := range []string{
		okHead + "Content-Length : 1\r\n\r\nx",
		okHead + "Transfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		okHead + "X Y: 1\r\nContent-Length: 1\r\n\r\nx",
		okHead + "X\x01: 1\r\nContent-Length: 1\r\n\r\nx",
		okHead + "X\xe9: 1\r\nContent-Length: 1\r\n\r\nx",
		okHead + " X: 1\r\nContent-Length: 1\r\n\r\nx",
		okHead + "X: 1\r\n Y: 1\r\nContent-Length: 1\r\n\r\nx",
		okHead + "X: 1\rY: 1\r\nContent-Length: 1\r\n\r\nx",
		okHead + "Content-Length: 1" + strings.Repeat(" ", 60) + "1\r\n\r\nx",
		okHead + "Transfer-Encoding: chunked" + strings.Repeat("\t", 60) + "x\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		okHead + "X: \x00\r\nContent-Length: 1\r\n\r\nx",
		okHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 099 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 600 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 999 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 20 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nx",
		"HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\n" + okHead + "Content-Length: 1\r\n\r\nx",
		"HTTP/1.1 103 Hints\r\n\r\n" + okHead + "X Y: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 103 Hints\r\n\r\n" + okHead + "X: 1\r\n Y: 1\r\nContent-Length: 1\r\n\r\nx",
	} {
		address := server(t, func(c net.Conn) { _, _ = io.WriteString(c, text) })
		var counted atomic.Int32
		p := h1.NewPool()
		p.OnMalformed = func(*h1.Request, error) { counted.Add(1) }
		if status, body, err := poolGet(p, address); !httphead.IsMalformed(err) || counted.Load() != 1 {
			t.Errorf("%q: expected the pool to refuse and count it, got %d %q, %v", text, status, body, err)
		}
		counted.Store(0)
		tr := newStrict(func(got string, _ error) {
			if got == address {
				counted.Add(1)
			}
		})
		if status, body, err := transportGet(tr, address); !httphead.IsMalformed(err) || counted.Load() != 1 {
			t.Errorf("%q: expected the transport to refuse and count it, got %d %q, %v", text, status, body, err)
		}
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp, _, err := httphead.ReadResponse(c, &http.Request{Method: http.MethodGet}, 4<<10); !httphead.IsMalformed(err) && resp.StatusCode != http.StatusEarlyHints {
			t.Errorf("%q: expected ReadResponse to refuse it, got %+v, %v", text, resp, err)
		}
		c.Close()
	}
}

// Guards against a fault that is missed because it lies on the border of two reads, or after the answer before on the connection.
func TestMalformedHeadInSmallPiecesOnAUsedConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if n == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 103 Hints\r\n\r\n"+okHead+"Content-Length: 1\r\n\r\nx")
						continue
					}
					for _, b := range []byte(okHead + "A: b\r\n c\r\nContent-Length: 1\r\n\r\nx") {
						_, _ = c.Write([]byte{b})
						time.Sleep(100 * time.Microsecond)
					}
				}
			}()
		}
	}()
	address := lis.Addr().String()
	p, tr := h1.NewPool(), httphead.NewTransport(&http.Transport{}, nil)
	post := func() (int, string, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(""))
		if err != nil {
			return 0, "", err
		}
		resp, err := tr.RoundTrip(r)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), err
	}
	for name, get := range map[string]func() (int, string, error){
		"pool": func() (int, string, error) { return poolGet(p, address) }, "transport": post,
	} {
		if status, body, err := get(); status != http.StatusOK || body != "x" || err != nil {
			t.Errorf("%s: expected an answer, got %d %q, %v", name, status, body, err)
		}
		if status, body, err := get(); !httphead.IsMalformed(err) {
			t.Errorf("%s: expected the second answer to be refused, got %d %q, %v", name, status, body, err)
		}
	}
}

// Guards against an answer that was cut off inside its head and is taken for a whole one, with no body or a short one.
func TestHeadCutOffAtEachByteIsNoAnswer(t *testing.T) {
	for _, text := range []string{
		okHead + "A: b\r\nContent-Length: 5\r\n\r\n",
		okHead + "Transfer-Encoding: chunked\r\nX: y\r\n\r\n",
		okHead + "A: b\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + okHead + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 204 None\r\n\r\n",
	} {
		var cut atomic.Int32
		address := server(t, func(c net.Conn) { _, _ = io.WriteString(c, text[:cut.Load()]) })
		p, tr := h1.NewPool(), newStrict(nil)
		for n := range len(text) {
			cut.Store(int32(n))
			if status, body, err := poolGet(p, address); err == nil {
				t.Errorf("%q: expected no answer by the pool, got %d %q", text[:n], status, body)
			}
			if status, body, err := transportGet(tr, address); err == nil {
				t.Errorf("%q: expected no answer by the transport, got %d %q", text[:n], status, body)
			}
		}
	}
}

// endless are answers whose first part is followed by the second one without end.
var endless = map[string][2]string{
	"short lines":             {okHead, "A: b\r\n"},
	"one line":                {okHead + "A: ", "bbbbbbbb"},
	"a name":                  {okHead, "AAAAAAAA"},
	"a status line":           {"HTTP/1.1 200 ", "OKOKOKOK"},
	"no answer":               {"", "AAAAAAAA"},
	"zeros":                   {"", "\x00\x00\x00\x00"},
	"empty lines":             {"", "\r\n\r\n\r\n"},
	"informational answers":   {"", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"},
	"short informational":     {"", "HTTP/1.1 100 C\r\n\r\n"},
	"lines that end with LF":  {okHead, "A:\n"},
	"lengths":                 {okHead, "Content-Length: 1\r\n"},
	"a length":                {okHead + "Content-Length: ", "00000000"},
	"an extension of a chunk": {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxx"},
	"extensions of chunks":    {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
	"a size of a chunk":       {okHead + "Transfer-Encoding: chunked\r\n\r\n", "00000000"},
	"trailers":                {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"a trailer":               {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "bbbbbbbb"},
	"a body by chunks":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	"a body by its end":       {okHead + "\r\n", "xxxxxxxx"},
	"a body by its length":    {okHead + "Content-Length: 999999999999\r\n\r\n", "xxxxxxxx"},
}

// writeEndless writes the parts of an answer without end, until the reader closes the connection.
func writeEndless(c net.Conn, parts [2]string) {
	_, err := io.WriteString(c, parts[0])
	chunk := []byte(strings.Repeat(parts[1], 1+8192/len(parts[1])))
	for err == nil {
		_, err = c.Write(chunk)
	}
}

// heapPeak samples the heap in use until the returned function is called, which returns by how much it grew at most.
func heapPeak() (stop func() uint64) {
	inUse := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	runtime.GC()
	before := inUse()
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most := before
		for {
			select {
			case <-done:
				peak <- most - before
				return
			case <-time.After(2 * time.Millisecond):
				most = max(most, inUse())
			}
		}
	}()
	return func() uint64 { close(done); return <-peak }
}

// Guards against endpoints, stores and boxes that fill the memory of a box with answers without end.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const (
		answers = 300
		// A head, or a body of the limit of its reader, is copied as it is parsed or as its buffer grows, and the collector of
		// garbage lets the heap grow to twice of what is in use.
		maxBody      = httphead.MaxBytes
		maxHeapBytes = answers * 2 * 2 * httphead.MaxBytes
	)
	for name, parts := range endless {
		t.Run(name, func(t *testing.T) {
			address := server(t, func(c net.Conn) { writeEndless(c, parts) })
			p, tr := h1.NewPool(), newStrict(nil)
			p.Dial = func(ctx context.Context, address string) (net.Conn, string, error) { // Without the pool's time limit.
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return c, "", err
			}
			peak := heapPeak()
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() {
					var resp *http.Response
					var err error
					if i%2 == 0 {
						resp, err = p.Do(ctx, &h1.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
					} else {
						r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
						resp, err = tr.RoundTrip(r)
					}
					if err == nil {
						_, err = h1.ReadLimited(resp, maxBody)
					}
					switch {
					case err == nil || errors.Is(err, context.DeadlineExceeded):
						t.Errorf("expected the answer to be refused before the deadline, got %v", err)
					case !strings.Contains(parts[0], "\r\n\r\n") && !strings.HasPrefix(parts[0]+parts[1], "HTTP/1.1 1") && !httphead.IsMalformed(err):
						t.Errorf("expected a malformed answer, got %v", err)
					}
				})
			}
			wg.Wait()
			n := peak()
			t.Logf("the heap grew by %d KB", n>>10)
			if n > maxHeapBytes {
				t.Errorf("expected the heap to grow by %d KB at most, got %d", maxHeapBytes>>10, n>>10)
			}
		})
	}
}
