// Package peerauth authenticates streams between the daemons of a fleet with mutual
// TLS. The certificate authorities are derived from the shared peer keys in the
// settings, so no certificate files are distributed or renewed. The package must
// not log or return a secret.
//
// A holder of a peer key can issue a certificate for any VM name. The names protect
// against mistakes, such as an old list with the address of a replaced VM, but not
// against a stolen key.
package peerauth

import (
	"context"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// handshakeTimeout limits connecting and the TLS handshake, so that silent
// connections do not hold memory.
const handshakeTimeout = 2 * time.Second

// hkdfInfo separates the key of the authority from other keys derived from the same
// peer key.
const hkdfInfo = "sycamorekeel peer authority v1"

// Certificates do not expire in practice: the clocks of VMs differ, a key is revoked
// by its removal from the settings, and the private key of a VM's certificate exists
// only as long as its process.
var (
	validFrom  = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)
)

// Authority holds the certificate of this VM and the root certificates that verify
// its peers.
type Authority struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// New derives a root certificate from each key. The first key signs the certificate
// of this VM; certificates of peers may be signed with any of the keys. A key is
// replaced without downtime in three steps: add the new key second on every VM,
// then move it first, then remove the old one.
func New(vm string, keys []*pb.PeerKey) (*Authority, error) {
	if len(keys) == 0 {
		return nil, trace.BadParameter("peerauth: no peer key")
	}
	a := &Authority{roots: x509.NewCertPool()}
	for i, k := range keys {
		root, signer, err := deriveRoot(k.Secret)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		a.roots.AddCert(root)
		if i > 0 {
			continue
		}
		a.certificate, err = issueCertificate(vm, root, signer)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return a, nil
}

// deriveRoot derives the root certificate and its private key from a secret. The same
// secret yields the same key on every VM.
func deriveRoot(secret string) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, hkdfInfo, ed25519.SeedSize)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "sycamorekeel peers"},
		NotBefore:             validFrom,
		NotAfter:              validUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	root, err := x509.ParseCertificate(der)
	return root, key, trace.Wrap(err)
}

// issueCertificate issues a certificate for the VM with a new private key, which
// never leaves this process.
func issueCertificate(vm string, root *x509.Certificate, signer ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: vm},
		NotBefore:    validFrom,
		NotAfter:     validUntil,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, root, public, signer)
	if err != nil {
		return tls.Certificate{}, trace.Wrap(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// Dial opens an authenticated TLS connection to the peer at address.
func (a *Authority) Dial(ctx context.Context, address string) (net.Conn, error) {
	return a.Dialer(nil)(ctx, address)
}

// DialFunc opens a connection to a peer address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer returns a DialFunc that opens authenticated TLS connections on top of those
// of dial. If dial is nil, it dials TCP.
func (a *Authority) Dialer(dial DialFunc) DialFunc {
	if dial == nil {
		dial = dialTCP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		conn := tls.Client(raw, a.clientConfig())
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, trace.Wrap(err)
		}
		return conn, nil
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (a *Authority) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{a.certificate},
		// Peers are addressed by IP addresses that change, so host names are
		// not verified. VerifyConnection verifies the certificate instead.
		InsecureSkipVerify: true,
		VerifyConnection:   a.verifyServer,
	}
}

// verifyServer checks that a root of the fleet signed the certificate of the server.
func (a *Authority) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peerauth: the peer has no certificate")
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     a.roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return trace.Wrap(err)
}

// Listen wraps ln in a TLS listener whose connections require a client certificate
// of the fleet.
func (a *Authority) Listen(ln net.Listener) net.Listener {
	return tls.NewListener(deadlineListener{ln}, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return a.serverConfig(hello.Conn), nil
		},
	})
}

// serverConfig returns the TLS configuration for one connection. It clears the
// deadline of conn once the peer is verified, and makes the connection keep its place.
func (a *Authority) serverConfig(conn net.Conn) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{a.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              a.roots,
		SessionTicketsDisabled: true,
		VerifyConnection: func(tls.ConnectionState) error {
			httpserver.Keep(conn)
			return conn.SetDeadline(time.Time{})
		},
	}
}

// deadlineListener sets the handshake deadline on each accepted connection.
type deadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// PeerName returns the VM name in the peer's certificate. It fails unless transport
// is a *tls.Conn with a peer certificate.
func PeerName(transport any) (string, error) {
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return "", trace.AccessDenied("peerauth: the connection is not authenticated")
	}
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return "", trace.AccessDenied("peerauth: the peer has no certificate")
	}
	return certificates[0].Subject.CommonName, nil
}
