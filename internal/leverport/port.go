// Package leverport finds free ports of the loopback address, for tests and trials
// that run beside others.
package leverport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"

	"github.com/juju/errors"
)

const (
	// tries bounds the runs of ports that are looked at.
	tries = 200
	// least is the first port that needs no privilege and that few services use.
	least = 10000
	// usualLocal is where the kernel's ports for outgoing connections usually
	// begin, and localRange the file that says it.
	usualLocal = 32768
	localRange = "/proc/sys/net/ipv4/ip_local_port_range"
)

// firstLocal returns the first port that the kernel may give to an outgoing
// connection: from there on a port that is free now may be taken at any moment.
func firstLocal() int {
	b, err := os.ReadFile(localRange)
	if err != nil {
		return usualLocal
	}
	var first int
	if _, err := fmt.Sscan(string(b), &first); err != nil || first <= least {
		return usualLocal
	}
	return first
}

// Free returns a port for which the ports at all offsets from it are free and not
// those of outgoing connections. They are not held: another process that listens
// may take one before they are used.
func Free(offsets ...int) (int, error) {
	room := firstLocal() - least - slices.Max(append(offsets, 0))
	if room < 1 {
		return 0, errors.NotValidf("offsets %v", offsets)
	}
	for range tries {
		first := least + rand.IntN(room)
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
