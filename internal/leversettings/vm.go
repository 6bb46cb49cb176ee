package leversettings

import (
	"net"
	"net/url"

	"arbutuslever.dev/lever/internal/leverid"
)

// TLS holds the paths of the PEM files for TLS. If all are empty, connections
// are plain TCP; otherwise all are required.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority holds the CA certificates that peer certificates are verified
	// against.
	Authority string `json:"authority"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.Authority != "" }

// Seed is a VM to fetch the configuration from when the platform does not
// answer at startup.
type Seed struct {
	VM   leverid.VMID `json:"vm"`
	Peer string       `json:"peer-address"`
}

// VM holds the settings of the process on an entry VM.
type VM struct {
	VM     leverid.VMID   `json:"vm"`
	Domain leverid.Domain `json:"failure-domain"`
	// CallerListen and PeerListen are IP addresses with ports.
	CallerListen string `json:"caller-listen"`
	PeerListen   string `json:"peer-listen"`
	// Platform is the platform's base URL.
	Platform string `json:"platform"`
	// PlatformToken authenticates each call to the platform.
	PlatformToken string `json:"platform-token"`
	// PeerKeys authenticate other VMs, OperatorKeys operators. Each list holds
	// one key, or two during a key rotation.
	PeerKeys     []string `json:"peer-keys"`
	OperatorKeys []string `json:"operator-keys"`
	Seeds        []Seed   `json:"seeds"`
	TLS          TLS      `json:"tls"`
	// AllowPlain permits plain TCP on addresses other than loopback.
	AllowPlain bool `json:"allow-plain"`
	// UpstreamConnections is the maximum number of connections to one upstream.
	UpstreamConnections int `json:"upstream-connections"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
}

// DefaultVM returns settings with the defaults, to load a file into.
func DefaultVM() VM {
	const connections = 12
	return VM{UpstreamConnections: connections, LogLevel: "info"}
}

const (
	minKeyLength   = 16 // bytes
	maxConnections = 10000
)

// Check validates the values. The path is used in errors, which name the key.
func (s *VM) Check(path string) error {
	if s.VM == "" {
		return KeyErrorf(path, "vm", "empty value")
	}
	if s.Domain == "" {
		return KeyErrorf(path, "failure-domain", "empty value")
	}
	if err := s.checkListen(path, "caller-listen", s.CallerListen); err != nil {
		return err
	}
	if err := s.checkListen(path, "peer-listen", s.PeerListen); err != nil {
		return err
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" {
		return KeyErrorf(path, "platform", "%q (want a URL like http://127.0.0.1:7000)", s.Platform)
	}
	if err := checkKeys(path, "peer-keys", s.PeerKeys); err != nil {
		return err
	}
	if err := checkKeys(path, "operator-keys", s.OperatorKeys); err != nil {
		return err
	}
	if s.UpstreamConnections < 1 || s.UpstreamConnections > maxConnections {
		return KeyErrorf(path, "upstream-connections", "%d (want 1 to %d)", s.UpstreamConnections, maxConnections)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return KeyErrorf(path, "log-level", "%q (want debug, info, warn or error)", s.LogLevel)
	}
	return nil
}

func (s *VM) checkListen(path, key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return KeyErrorf(path, key, "%q (want an IP address with a port)", address)
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return KeyErrorf(path, key, "%q (want an IP address)", host)
	}
	if !ip.IsLoopback() && !s.TLS.Enabled() && !s.AllowPlain {
		return KeyErrorf(path, key, "address %s beyond loopback without tls or allow-plain", host)
	}
	return nil
}

func checkKeys(path, key string, keys []string) error {
	if len(keys) < 1 || len(keys) > 2 {
		return KeyErrorf(path, key, "%d keys (want one, or two during a key rotation)", len(keys))
	}
	for i, k := range keys {
		if len(k) < minKeyLength {
			return KeyErrorf(path, key, "key %d (want at least %d bytes)", i, minKeyLength)
		}
	}
	return nil
}
