package tcpopt

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// connect returns both sides of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	d := Dialer(time.Second)
	c, err := d.DialContext(context.Background(), "tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// awaitStatus waits until a connection has a status.
func awaitStatus(t *testing.T, c net.Conn, want Status) {
	t.Helper()
	var got Status
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var err error
		if got, err = StatusOf(c); err != nil {
			t.Fatal(err)
		}
		if got == want {
			return
		}
	}
	t.Errorf("expected %+v, got %+v", want, got)
}

// Guards against a reset that is not noticed because another call was told of it, and against a regular close that counts as
// one.
func TestStatusTellsAResetFromAClose(t *testing.T) {
	c, s := connect(t)
	awaitStatus(t, c, Status{})
	if _, err := io.WriteString(c, "0123456789"); err != nil {
		t.Fatal(err)
	}
	awaitStatus(t, c, Status{Acked: 10})
	_, _ = io.ReadFull(s, make([]byte, 10))
	_ = s.CloseWrite()
	_, _ = io.ReadAll(c)
	awaitStatus(t, c, Status{Acked: 10})
	_ = s.SetLinger(0)
	_ = s.Close()
	awaitStatus(t, c, Status{Closed: true, Acked: 10})
	_ = c.Close()
	if _, err := StatusOf(c); err == nil {
		t.Error("expected no status of a connection that this process closed")
	}
}

func BenchmarkStatusOf(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer lis.Close()
	c, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	for b.Loop() {
		if _, err := StatusOf(c); err != nil {
			b.Fatal(err)
		}
	}
}
