package tunnel

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"
)

func benchServer(b *testing.B) (server, target string) {
	b.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	s := &Server{Dial: dialer.DialContext, Key: func() string { return "k" }, Listed: func(string) bool { return true }, Results: &fakeResults{}}
	srv := httptest.NewServer(s)
	b.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), lis.Addr().String()
}

func BenchmarkOpen(b *testing.B) {
	server, target := benchServer(b)
	for range b.N {
		c, err := Open(context.Background(), dialer.DialContext, server, target, "k")
		if err != nil {
			b.Fatal(err)
		}
		c.Close()
	}
}

// One round trip carries 800 bytes each way, about a plain call.
func BenchmarkRoundTrip(b *testing.B) {
	server, target := benchServer(b)
	for _, through := range []bool{false, true} {
		name := "direct"
		if through {
			name = "tunnel"
		}
		b.Run(name, func(b *testing.B) {
			c, err := dialer.Dial("tcp", target)
			if through {
				c, err = Open(context.Background(), dialer.DialContext, server, target, "k")
			}
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			buf := make([]byte, 800)
			b.SetBytes(int64(2 * len(buf)))
			b.ResetTimer()
			for range b.N {
				if _, err := c.Write(buf); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(c, buf); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
