package leverpeer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leversettings"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// writeCertificate creates a self-signed certificate for loopback and returns
// settings that name its files.
func writeCertificate(t *testing.T, is *is.I) leversettings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	raw, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	write := func(name, kind string, b []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return leversettings.TLS{Certificate: cert, Key: write("key.pem", "EC PRIVATE KEY", raw), Authority: cert}
}

// TestPeersOverTLS checks that a server accepts only peers with a certificate
// of its authority.
func TestPeersOverTLS(t *testing.T) {
	is := is.New(t)
	server, client, err := writeCertificate(t, is).Configs()
	is.NoErr(err)
	_, foreign, err := writeCertificate(t, is).Configs()
	is.NoErr(err)
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server.ForPeers())
	is.NoErr(err)
	hooks := testHooks{down: make(chan leverid.VMID, 8)}
	s := &leverpeer.Server{
		Self: levermsg.VM{ID: "b"}, Keys: leverpeer.NewKeys("key"), Hooks: hooks, Timer: &levertimer.Service{},
		Handler: handlerFunc(echo), Counters: &leverevent.Counters{},
	}
	go s.Run(ln)
	defer s.Close()
	defer ln.Close()
	cases := map[string]struct {
		config *tls.Config
		ok     bool
	}{
		"own certificate":     {client, true},
		"foreign certificate": {foreign, false},
		"no certificate":      {&tls.Config{RootCAs: client.RootCAs}, false},
		"plain":               {nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := &leverpeer.Client{
				Self: levermsg.VM{ID: "a"}, Keys: leverpeer.NewKeys("key"), Hooks: hooks, Timer: &levertimer.Service{},
				Counters: &leverevent.Counters{}, TLS: c.config,
			}
			defer cl.Close()
			var answer string
			err := cl.Invoke(t.Context(), levermsg.VM{ID: "b", Peer: ln.Addr().String()}, leverpeer.KindStatus, "hello", &answer)
			is.Equal(err == nil, c.ok)
		})
	}
}
