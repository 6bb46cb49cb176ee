// Package leverport takes free ports of the loopback address from the kernel,
// for tests and trials that run beside others.
package leverport

import (
	"fmt"
	"net"

	"github.com/juju/errors"
)

// tries bounds the ports that the kernel is asked for.
const tries = 200

// Free returns a port for which the ports at all offsets from it are free. They
// are not held: another process may take one before they are used.
func Free(offsets ...int) (int, error) {
	for range tries {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, errors.Trace(err)
		}
		first := ln.Addr().(*net.TCPAddr).Port
		if err := ln.Close(); err != nil {
			return 0, errors.Trace(err)
		}
		if allFree(first, offsets) {
			return first, nil
		}
	}
	return 0, errors.NotFoundf("run of free ports")
}

func allFree(first int, offsets []int) bool {
	for _, offset := range offsets {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+offset))
		if err != nil {
			return false
		}
		// The listener was only there to see that the port is free.
		_ = ln.Close()
	}
	return true
}
