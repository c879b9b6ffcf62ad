package tunnel

import (
	"context"
	"io"
	"testing"
)

func BenchmarkOpen(b *testing.B) {
	_, server := newServer(b)
	target := newEndpoint(b, echo)
	for range b.N {
		c, err := Open(context.Background(), dialer.DialContext, server, target, "k", "")
		if err != nil {
			b.Fatal(err)
		}
		c.Close()
	}
}

// One round trip carries 800 bytes each way, about a plain call.
func BenchmarkRoundTrip(b *testing.B) {
	_, server := newServer(b)
	target := newEndpoint(b, echo)
	for _, through := range []bool{false, true} {
		name := "direct"
		if through {
			name = "tunnel"
		}
		b.Run(name, func(b *testing.B) {
			c, err := dialer.Dial("tcp", target)
			if through {
				c, err = Open(context.Background(), dialer.DialContext, server, target, "k", "")
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
