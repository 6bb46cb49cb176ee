package leversettings

import (
	"net"
	"net/url"

	"arbutuslever.dev/lever/internal/leverid"
)

// TLS names the files for encrypted connections. All are PEM.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the certificate authority of the peers.
	Authority string `json:"authority"`
}

// Set reports whether TLS is configured.
func (t TLS) Set() bool { return t.Certificate != "" || t.Key != "" || t.Authority != "" }

// Seed is a VM to ask for the configuration when the platform does not answer
// at the start.
type Seed struct {
	VM   leverid.VMID `json:"vm"`
	Peer string       `json:"peer-address"`
}

// VM is the settings of an entry VM's process.
type VM struct {
	VM     leverid.VMID   `json:"vm"`
	Domain leverid.Domain `json:"failure-domain"`
	// CallerListen and PeerListen are IP addresses with ports.
	CallerListen string `json:"caller-listen"`
	PeerListen   string `json:"peer-listen"`
	Platform     string `json:"platform"`
	// PlatformToken is sent to the platform with each call.
	PlatformToken string   `json:"platform-token"`
	PeerKeys      []string `json:"peer-keys"`
	OperatorKeys  []string `json:"operator-keys"`
	Seeds         []Seed   `json:"seeds"`
	TLS           TLS      `json:"tls"`
	// AllowPlain permits listening beyond loopback without TLS.
	AllowPlain bool `json:"allow-plain"`
	// UpstreamConnections bounds the connections to one upstream.
	UpstreamConnections int    `json:"upstream-connections"`
	LogLevel            string `json:"log-level"`
}

// DefaultVM returns the settings that a file may leave out.
func DefaultVM() VM {
	const connections = 12
	return VM{UpstreamConnections: connections, LogLevel: "info"}
}

const (
	leastKey       = 16 // bytes
	maxConnections = 10000
)

// Check looks at the values. The error names the key.
func (s *VM) Check(path string) error {
	if s.VM == "" {
		return KeyError(path, "vm", "is empty")
	}
	if s.Domain == "" {
		return KeyError(path, "failure-domain", "is empty")
	}
	if err := s.checkListen(path, "caller-listen", s.CallerListen); err != nil {
		return err
	}
	if err := s.checkListen(path, "peer-listen", s.PeerListen); err != nil {
		return err
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" {
		return KeyError(path, "platform", "%q is not an address like http://127.0.0.1:7000", s.Platform)
	}
	if err := checkKeys(path, "peer-keys", s.PeerKeys); err != nil {
		return err
	}
	if err := checkKeys(path, "operator-keys", s.OperatorKeys); err != nil {
		return err
	}
	if s.UpstreamConnections < 1 || s.UpstreamConnections > maxConnections {
		return KeyError(path, "upstream-connections", "%d (want 1 to %d)", s.UpstreamConnections, maxConnections)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return KeyError(path, "log-level", "%q (want debug, info, warn or error)", s.LogLevel)
	}
	return nil
}

func (s *VM) checkListen(path, key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return KeyError(path, key, "%q is not an IP address with a port", address)
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return KeyError(path, key, "%q is not an IP address", host)
	}
	if !ip.IsLoopback() && !s.TLS.Set() && !s.AllowPlain {
		return KeyError(path, key, "%s is not loopback: set tls, or allow-plain", host)
	}
	return nil
}

func checkKeys(path, key string, keys []string) error {
	if len(keys) < 1 || len(keys) > 2 {
		return KeyError(path, key, "%d keys (want one, or two while one is replaced)", len(keys))
	}
	for i, k := range keys {
		if len(k) < leastKey {
			return KeyError(path, key, "key %d is shorter than %d characters", i, leastKey)
		}
	}
	return nil
}
