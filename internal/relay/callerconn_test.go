package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// callerPair returns the box's end and the caller's end of a connection.
func callerPair(t *testing.T) (box, caller net.Conn) {
	t.Helper()
	lis, err := cellRelay(1).ListenCallers("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	caller, err = net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	box, err = lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = box.Close()
	})
	return box, caller
}

// TestWriteAfterAStall guards against closing the connections of callers that read all data. The box got no processor
// time for seconds, so the deadline of its write has passed. The write must succeed.
func TestWriteAfterAStall(t *testing.T) {
	box, caller := callerPair(t)
	text := bytes.Repeat([]byte("event"), 100_000) // More than the buffers of a connection hold.
	if err := box.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(caller)
		got <- b
	}()
	if n, err := box.Write(text); err != nil || n != len(text) {
		t.Fatalf("expected %d bytes to be written, got %d, %v", len(text), n, err)
	}
	if err := box.Close(); err != nil {
		t.Fatal(err)
	}
	if b := <-got; !bytes.Equal(b, text) {
		t.Errorf("expected all %d bytes, got %d", len(text), len(b))
	}
}

// TestWriteToOneThatDoesNotRead checks that a write to a caller that takes no data fails once its deadline has passed.
func TestWriteToOneThatDoesNotRead(t *testing.T) {
	box, _ := callerPair(t)
	if err := box.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	n, err := box.Write(make([]byte, 64<<20))
	if !errors.Is(err, os.ErrDeadlineExceeded) || n == 64<<20 {
		t.Errorf("expected the write to fail with a passed deadline, got %d, %v", n, err)
	}
}

// TestUndeliveredEndOfAnAnswerIsReportedOnce checks the report of failed writes after the handler has returned. The
// first failure is reported, and a second failure is not.
func TestUndeliveredEndOfAnAnswerIsReportedOnce(t *testing.T) {
	box, caller := callerPair(t)
	reported := 0
	report := func(error) { reported++ }
	box.(*callerConn).undelivered.Store(&report)
	if err := caller.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		for err := error(nil); err == nil; {
			_, err = box.Write([]byte("the end")) // Succeeds until the reset of the connection is received.
		}
	}
	if reported != 1 {
		t.Errorf("expected one report, got %d", reported)
	}
}

// stallingConn is a connection of a process that gets no processor time before its first writes. Each of these writes
// fails, because its deadline has passed. stalls is the number of writes that are still to fail.
type stallingConn struct {
	stalls  int
	written bytes.Buffer
}

func (s *stallingConn) SetWriteDeadline(time.Time) error { return nil }

func (s *stallingConn) Write(b []byte) (int, error) {
	if s.stalls > 0 {
		s.stalls--
		return 0, os.ErrDeadlineExceeded
	}
	return s.written.Write(b)
}

// TestWriteAfterStallsInARow checks that a write succeeds after its deadline has passed untried three times in a row.
func TestWriteAfterStallsInARow(t *testing.T) {
	s := &stallingConn{stalls: 3}
	if n, err := writeRetryingStalls(s, []byte("event")); n != 5 || err != nil || s.written.String() != "event" {
		t.Errorf("expected the event to be written, got %d, %v, %q", n, err, s.written.String())
	}
}
