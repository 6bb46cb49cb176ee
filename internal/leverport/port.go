// Package leverport finds free ports on the loopback address for tests and
// trials that run in parallel with others.
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
	// maxTries is the maximum number of random candidates for the first port.
	maxTries = 200
	// minPort is the lowest candidate. Ports from here on need no privilege, and
	// few services use them.
	minPort = 10000
	// defaultEphemeral is the usual first port of the kernel's ephemeral range,
	// from which it assigns ports to outgoing connections. ephemeralRange is the
	// file that holds the actual range.
	defaultEphemeral = 32768
	ephemeralRange   = "/proc/sys/net/ipv4/ip_local_port_range"
)

// firstEphemeral returns the first port that the kernel may assign to an
// outgoing connection. A port from there on can be taken at any moment, even if
// it is free now.
func firstEphemeral() int {
	b, err := os.ReadFile(ephemeralRange)
	if err != nil {
		return defaultEphemeral
	}
	var first int
	if _, err := fmt.Sscan(string(b), &first); err != nil || first <= minPort {
		return defaultEphemeral
	}
	return first
}

// FindFree returns a port p such that, for each offset, p+offset is free and
// lies below the ephemeral range. The ports are not reserved: another process may
// bind one before they are used.
func FindFree(offsets ...int) (int, error) {
	choices := firstEphemeral() - minPort - slices.Max(append(offsets, 0))
	if choices < 1 {
		return 0, errors.NotValidf("offsets %v (want offsets that fit below the ephemeral range)", offsets)
	}
	for range maxTries {
		first := minPort + rand.IntN(choices)
		if allFree(first, offsets) {
			return first, nil
		}
	}
	return 0, errors.NotFoundf("set of free ports at the given offsets")
}

func allFree(first int, offsets []int) bool {
	for _, offset := range offsets {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+offset))
		if err != nil {
			return false
		}
		// The listener only probed whether the port is free.
		_ = ln.Close()
	}
	return true
}
