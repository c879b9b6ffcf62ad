package h1

import "errors"

// ErrUnconfirmed means that a new connection was closed by the endpoint before the request was sent (ConfirmOpen), or did
// not answer the probe in time.
var ErrUnconfirmed = errors.New("the endpoint closed the new connection before the request was sent")

// ErrNotAllowed means that StillAllowed or Begin returned false.
var ErrNotAllowed = errors.New("the endpoint takes no more requests")

// ErrConnsBusy means that all MaxConns connections stayed in use until the request's context ended.
var ErrConnsBusy = errors.New("all connections to the endpoint are in use")

// mayBegin reports whether the first byte may be sent. waited is set if the request waited for its connection or opened one.
func (r *Request) mayBegin(waited bool) bool {
	if waited && r.StillAllowed != nil && !r.StillAllowed() {
		return false
	}
	return r.Begin == nil || r.Begin()
}
