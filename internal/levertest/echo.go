package levertest

import (
	"bufio"
	"net"
)

// Echo answers each request on its connections with the same bytes, whatever
// it asks for.
type Echo struct{ Answer []byte }

// Start serves on a loopback port until the listener is closed.
func (e *Echo) Start() (net.Listener, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go e.run(ln)
	return ln, nil
}

func (e *Echo) run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go e.runConn(c)
	}
}

func (e *Echo) runConn(c net.Conn) {
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
		if _, err := c.Write(e.Answer); err != nil {
			return
		}
	}
}
