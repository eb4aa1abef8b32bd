// Package peerauth lets only daemons of this fleet exchange streams: mutual TLS
// whose authorities follow from the shared peer keys in the settings, so that
// there are no certificate files to hand out and nothing to renew. It must not
// log or return a secret.
//
// Whoever holds a peer key can name itself as any VM; the names in the
// certificates guard against mistakes, such as a replaced VM's address in an
// old list, and not against a stolen key.
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

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// handshakeTimeout bounds connecting and the handshake: a connection that says
// nothing must not hold this VM's memory.
const handshakeTimeout = 2 * time.Second

// purpose keeps the authority's key apart from the other uses of a peer key.
const purpose = "sycamorekeel peer authority v1"

// Certificates are valid at any time: clocks differ between VMs, keys are
// withdrawn by taking them out of the settings, and leaves die with the process.
var (
	validFrom  = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)
)

// Authority issues this VM's certificate and accepts those of its peers.
type Authority struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// New derives an authority from each key. The first one signs this VM's
// certificate, peers may use any, so that a key is replaced without a stop: add
// the new key second on every VM, then put it first, then take the old one out.
func New(vm string, keys []*pb.PeerKey) (*Authority, error) {
	if len(keys) == 0 {
		return nil, trace.BadParameter("peerauth: no peer key")
	}
	a := &Authority{roots: x509.NewCertPool()}
	for i, k := range keys {
		root, signer, err := derive(k.Secret)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		a.roots.AddCert(root)
		if i > 0 {
			continue
		}
		a.certificate, err = issue(vm, root, signer)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return a, nil
}

// derive makes the authority of a key: the same one on every VM.
func derive(secret string) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, purpose, ed25519.SeedSize)
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

// issue makes a certificate that names the VM, with a key that never leaves
// this process.
func issue(vm string, root *x509.Certificate, signer ed25519.PrivateKey) (tls.Certificate, error) {
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

// Dial opens a stream to the peer at address.
func (a *Authority) Dial(ctx context.Context, address string) (net.Conn, error) {
	return a.Dialer(nil)(ctx, address)
}

// DialFunc opens a TCP connection to a peer address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer opens streams over the connections of dial; nil dials plainly.
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
		// Peers are known by IP numbers that change: the chain is verified
		// below, host names are not.
		InsecureSkipVerify: true,
		VerifyConnection:   a.verifyServer,
	}
}

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

// Listen accepts only peers that show a certificate of the fleet.
func (a *Authority) Listen(ln net.Listener) net.Listener {
	return tls.NewListener(deadlineListener{ln}, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return a.serverConfig(hello.Conn), nil
		},
	})
}

// serverConfig is for one connection: its deadline ends with the handshake.
func (a *Authority) serverConfig(conn net.Conn) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{a.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              a.roots,
		SessionTicketsDisabled: true,
		VerifyConnection: func(tls.ConnectionState) error {
			return conn.SetDeadline(time.Time{})
		},
	}
}

// deadlineListener gives each connection the time of one handshake.
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

// PeerName is the VM that the certificate of an authenticated connection names.
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
