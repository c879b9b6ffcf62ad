package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/platform"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
)

// fakeBox is another box, with a version of the configuration in force.
type fakeBox struct {
	stoatrampv1connect.UnimplementedPeerHandler
	version int64
}

func (b *fakeBox) State(context.Context, *connect.Request[v1.StateRequest]) (*connect.Response[v1.StateResponse], error) {
	return connect.NewResponse(&v1.StateResponse{ConfigVersion: b.version}), nil
}

// fixedList is the platform's list of boxes.
type fixedList []platform.BoxInfo

func (l *fixedList) Boxes(context.Context) ([]platform.BoxInfo, error) { return slices.Clone(*l), nil }

// The platform's list may lack a box for a moment. A box that serves callers with an older version must count as behind
// then too: the operator would be told that the version is in force on all boxes.
func TestBehindWhileMissingInList(t *testing.T) {
	for _, tt := range []struct {
		name    string
		version int64
		stopped bool // The box does not answer.
		leaving bool // The list said that the box was leaving.
		want    []string
	}{
		{"older version", 1, false, false, []string{"b"}},
		{"same version", 2, false, false, nil},
		{"no answer", 1, true, false, []string{"b"}},
		{"left as announced", 1, true, true, nil},
		{"older version while leaving", 1, false, true, []string{"b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			_, h := stoatrampv1connect.NewPeerHandler(&fakeBox{version: tt.version})
			srv := httptest.NewServer(h)
			defer srv.Close()
			list := &fixedList{{Name: "b", Address: srv.URL, Leaving: tt.leaving}}
			p := New("a", "key", list, http.DefaultClient)
			p.Refresh(ctx)
			*list = nil
			p.Refresh(ctx)
			if got := slices.Contains(p.Serving(), "b"); got == tt.leaving {
				t.Errorf("expected the box among those serving: %t, got %t", !tt.leaving, got)
			}
			if tt.stopped {
				srv.Close()
			}
			if got := p.Behind(ctx, 2, []string{"b"}); !slices.Equal(got, tt.want) {
				t.Errorf("expected %v, got %v", tt.want, got)
			}
			if got := p.Behind(ctx, 2, nil); got != nil {
				t.Errorf("expected a box that is not named to be left out, got %v", got)
			}
		})
	}
}

// A box that is missing in the list for long is gone, and must not keep a version from being reported as in force.
func TestGoneBoxIsNotBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		list := &fixedList{{Name: "b", Address: "http://b"}}
		p := New("a", "key", list, &http.Client{Transport: unreachable{}})
		p.Refresh(ctx)
		*list = nil
		p.Refresh(ctx)
		time.Sleep(missingRetention + time.Second)
		if got := slices.Concat(p.Serving(), p.Behind(ctx, 2, []string{"b"})); len(got) > 0 {
			t.Errorf("expected the box to be gone, got %v", got)
		}
	})
}

// unreachable fails every call.
type unreachable struct{}

func (unreachable) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// heldList holds back the answer to the first read of the list.
type heldList struct {
	lists   chan []platform.BoxInfo // The lists, in the order of the reads.
	release chan struct{}
	first   bool
}

func (l *heldList) Boxes(context.Context) ([]platform.BoxInfo, error) {
	list, held := <-l.lists, !l.first
	l.first = true
	if held {
		<-l.release
	}
	return list, nil
}

// Two reads of the list overlap. The one that began first ends last. Its older list must not replace the newer one.
func TestOverlappingReadsKeepTheNewerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &heldList{lists: make(chan []platform.BoxInfo, 2), release: make(chan struct{})}
		l.lists <- nil
		l.lists <- []platform.BoxInfo{{Name: "b"}}
		p := New("a", "key", l, http.DefaultClient)
		go p.Refresh(t.Context())
		synctest.Wait()
		p.Refresh(t.Context())
		close(l.release)
		synctest.Wait()
		if got := p.Others(); len(got) != 1 {
			t.Errorf("expected the newer list with one box, got %v", got)
		}
	})
}
