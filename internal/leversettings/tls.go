package leversettings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// ServerTLS provides the TLS configurations of the listeners. The zero value
// means plain TCP.
type ServerTLS struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	enabled     bool
}

// ForCallers returns the configuration for connections of callers and
// operators. It is nil for plain TCP.
func (s ServerTLS) ForCallers() *tls.Config {
	if !s.enabled {
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{s.certificate}, MinVersion: tls.VersionTLS12}
}

// ForPeers returns the configuration for connections of other VMs, which must
// present a certificate signed by the authority. It is nil for plain TCP.
func (s ServerTLS) ForPeers() *tls.Config {
	c := s.ForCallers()
	if c == nil {
		return nil
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = s.authority
	return c
}

// Configs loads the PEM files. It returns the configurations of the listeners
// and the one for connections to peers, which is nil for plain TCP.
func (t TLS) Configs() (ServerTLS, *tls.Config, error) {
	if !t.Enabled() {
		return ServerTLS{}, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return ServerTLS{}, nil, errors.Annotate(err, "tls")
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return ServerTLS{}, nil, errors.Annotate(err, "tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return ServerTLS{}, nil, errors.NotValidf("tls.authority: no certificate in %s", t.Authority)
	}
	client := &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS12}
	return ServerTLS{certificate: cert, authority: pool, enabled: true}, client, nil
}
