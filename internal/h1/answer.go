package h1

import (
	"net"
	"net/http"
)

// CloseDelimit makes the answer to a caller end with its connection: the server adds neither a length nor chunks. It must
// be called before the header is written. Until the handler returns, any close resets a connection of Listen.
func CloseDelimit(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Transfer-Encoding", "identity") // The server of net/http does not send this value.
	if c := serverConnOf(r); c != nil {
		c.guard()
	}
}

// EndsWithConn reports whether the answer to a caller ends with the caller's connection. h is the answer's header.
func EndsWithConn(r *http.Request, h http.Header) bool {
	return h.Get("Transfer-Encoding") == "identity" || !r.ProtoAtLeast(1, 1) && h.Get("Content-Length") == ""
}

// Abort ends an answer that can't be completed, by a panic with http.ErrAbortHandler. A connection that is only closed
// would complete an answer that ends with its connection. Such a connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if EndsWithConn(r, w.Header()) {
		resetCaller(w)
	}
	panic(http.ErrAbortHandler)
}

// resetCaller closes a caller's connection with a TCP reset, if the server lets go of the connection.
func resetCaller(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	tcp := c
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // A TLS connection.
		tcp = t.NetConn()
	}
	if l, ok := tcp.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = tcp.Close()
}
