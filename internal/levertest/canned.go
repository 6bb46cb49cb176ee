package levertest

import (
	"bufio"
	"net"
)

// CannedServer is an HTTP server that answers every request with the same
// bytes. It treats each empty line as the end of a request.
type CannedServer struct{ Response []byte }

// Start listens on a loopback port and serves until the listener is closed.
func (s *CannedServer) Start() (net.Listener, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go s.run(ln)
	return ln, nil
}

func (s *CannedServer) run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.runConn(c)
	}
}

func (s *CannedServer) runConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if _, err := c.Write(s.Response); err != nil {
			return
		}
	}
}
