package httphead_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/outcome"
	iplatform "github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/tunnel"
	"github.com/stoatramp/stoatramp/platform"
)

// clients call the server at an address by the clients of several packages. report is called for each malformed answer by those
// that have no caller that counts it.
func clients(address string, report func(address string, err error)) map[string]func(ctx context.Context) error {
	var dialer net.Dialer
	store := platform.NewStore(address)
	store.WatchMalformed(report)
	engines, services := engine.NewClient(), iplatform.NewClient("http://"+address, "")
	engines.OnMalformed, services.OnMalformed = report, report
	return map[string]func(ctx context.Context) error{
		"a tunnel": func(ctx context.Context) error {
			_, err := tunnel.Open(ctx, dialer.DialContext, address, "127.0.0.1:1", "", "")
			return err
		},
		"the end of a tunnel": func(ctx context.Context) error {
			return tunnel.Ended(ctx, dialer.DialContext, address, "id", "k", 0, time.Second)
		},
		"an object": func(ctx context.Context) error {
			_, err := services.GetObject(ctx, "o")
			return err
		},
		"a table": func(ctx context.Context) error {
			_, _, err := store.Workers().All(ctx)
			return err
		},
		"a prefill": func(ctx context.Context) error {
			_, err := engines.Prefill(ctx, engine.Call{Address: address, Path: "/x", RequestID: "r"})
			return err
		},
	}
}

// Guards against a client that takes a malformed head, or one that was cut off, for an answer, or doesn't report it.
func TestClientsOfOtherPackagesRefuseMalformedHeads(t *testing.T) {
	const body = `{"rows":[],"ver":1}`
	head := okHead + "Content-Length: 19\r\n"
	var text atomic.Pointer[string]
	address := server(t, func(c net.Conn) { _, _ = io.WriteString(c, *text.Load()) })
	var reports atomic.Int32
	for name, call := range clients(address, func(string, error) { reports.Add(1) }) {
		for _, answer := range []string{
			head + "X : 1\r\n\r\n" + body, head + "X Y: 1\r\n\r\n" + body, head + "X: 1\r\n 2\r\n\r\n" + body, head + "X: 1\r2\r\n\r\n" + body,
			strings.Replace(head, "200", "999", 1) + "\r\n" + body, strings.Replace(head, "200", "000", 1) + "\r\n" + body,
			head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		} {
			text.Store(&answer)
			reports.Store(0)
			err := call(context.Background())
			counted := httphead.IsMalformed(err) || reports.Load() > 0
			if err == nil || !counted {
				t.Errorf("%s, %q: expected a malformed answer, got %v, %d reports", name, answer, err, reports.Load())
			}
			var failed *engine.CallError
			if errors.As(err, &failed) && (failed.Reason != outcome.WrongAnswer || !failed.MayHaveRun) {
				t.Errorf("%s, %q: expected a wrong answer to a request that may have run, got %+v", name, answer, failed)
			}
		}
		whole := head + "\r\n"
		for n := range len(whole) {
			cut := whole[:n]
			text.Store(&cut)
			if err := call(context.Background()); err == nil {
				t.Errorf("%s, %q: expected no answer", name, cut)
			}
		}
	}
}

// Guards against a sender of another kind than endpoints that fills the memory of a box with heads without end.
func TestHeadsWithoutEndAreBoundedForAllClients(t *testing.T) {
	const (
		calls        = 300
		maxHeapBytes = calls * 2 * 2 * httphead.MaxBytes // As in TestAnswersWithoutEndAreBounded.
	)
	for _, form := range []string{"short lines", "one line", "a status line", "informational answers"} {
		address := server(t, func(c net.Conn) { writeEndless(c, endless[form]) })
		for name, call := range clients(address, func(string, error) {}) {
			t.Run(form+", "+name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
				defer cancel()
				peak := heapPeak()
				var wg sync.WaitGroup
				for range calls {
					wg.Go(func() {
						if err := call(ctx); err == nil || ctx.Err() != nil {
							t.Errorf("expected an error before the deadline, got %v", err)
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
}
