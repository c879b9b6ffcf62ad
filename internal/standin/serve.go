package standin

import (
	"net"
	"net/http"
	"time"
)

// Server serves one stand-in on a loopback port of its own.
type Server struct {
	Addr string
	srv  *http.Server
	lis  net.Listener
}

// Listen serves the handler h on a free loopback port.
func Listen(h http.Handler) (*Server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		Addr: lis.Addr().String(),
		srv:  &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		lis:  lis,
	}
	go func() { _ = s.srv.Serve(lis) }()
	return s, nil
}

// Close drops every connection, as a crashing process would.
func (s *Server) Close() { _ = s.srv.Close() }
