package box

import (
	"context"
	"fmt"
	"net"
	"testing"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
)

// expectListenersClosed passes an address that is free and one that is in use to start, which must fail and leave the
// first address free. A program that then tries other settings could not listen there.
func expectListenersClosed(t *testing.T, start func(free, used string) error) {
	t.Helper()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free := first.Addr().String()
	first.Close()
	if start(free, taken.Addr().String()) == nil {
		t.Fatal("expected an error, because an address is in use")
	}
	again, err := net.Listen("tcp", free)
	if err != nil {
		t.Fatalf("expected the listener that had been opened to be closed, got %v", err)
	}
	again.Close()
}

func TestListenersClosedAfterFailure(t *testing.T) {
	site, err := demo.Start(context.Background(), smallSite())
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	cfg, err := config.ParseBox("test", []byte(site.Settings))
	if err != nil {
		t.Fatal(err)
	}
	expectListenersClosed(t, func(free, used string) error {
		cfg.Callers, cfg.Operators = free, used
		_, err := New(cfg, zap.NewNop())
		return err
	})
}

func TestRelayListenersClosedAfterFailure(t *testing.T) {
	expectListenersClosed(t, func(free, used string) error {
		cfg, err := config.ParseRelay("test", fmt.Appendf(nil, "[box]\nname = b\nregion = r\nhall = h\n[callers]\nlisten = %s\n[readiness]\nlisten = %s\n[store]\naddress = 127.0.0.1:1\n", free, used))
		if err != nil {
			t.Fatal(err)
		}
		_, err = NewRelay(cfg, Site{ReadyPath: "/ready"}, zap.NewNop(), nil)
		return err
	})
}
