package peerrpc

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of peer authentication.
var (
	ErrUnknownPeer = errors.New("peer's key is not derived from the fleet's secret")
	ErrWeakSecret  = errors.New("the fleet's secret is too short")
)

const (
	minSecretBytes      = 16
	certificateLifetime = 100 * 365 * 24 * time.Hour // from the Unix epoch
	handshakeTimeout    = 5 * time.Second
	keyInfo             = "sesamewell link key 1" // info parameter of HKDF
)

// Identity authenticates both ends of a connection as processes of the fleet. It
// uses mutual TLS 1.3 (RFC 8446) with one Ed25519 key, which every process derives
// from the fleet's shared secret by HKDF (RFC 5869).
type Identity struct {
	config *tls.Config
}

// NewIdentity derives an identity from the fleet's secret. It returns
// ErrWeakSecret if the secret has fewer than 16 bytes.
func NewIdentity(secret string) (*Identity, error) {
	if len(secret) < minSecretBytes {
		return nil, errors.Wrapf(ErrWeakSecret, "%d bytes, want %d", len(secret), minSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive the TLS key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	certificate, err := selfSignedCertificate(key)
	if err != nil {
		return nil, err
	}
	fleetKey := key.Public().(ed25519.PublicKey)
	return &Identity{config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection compares the peer's key with the fleet's key,
		// which replaces the verification of a certificate chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(fleetKey, state)
		},
	}}, nil
}

// IdentityFor returns the identity for a process that listens on address, or nil
// if secret is empty and address is on loopback. It returns ErrWeakSecret if the
// secret is too short, or missing on any other address.
func IdentityFor(secret, address string) (*Identity, error) {
	listen, err := netip.ParseAddrPort(address)
	if secret == "" && err == nil && listen.Addr().IsLoopback() {
		return nil, nil
	}
	return NewIdentity(secret)
}

func verifyPeer(fleetKey ed25519.PublicKey, state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUnknownPeer
	}
	got, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(got, fleetKey) != 1 {
		return ErrUnknownPeer
	}
	return nil
}

func selfSignedCertificate(key ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "sesamewell"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(0, 0).Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "create the TLS certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// wrapAccepted wraps an accepted connection in TLS. The first read performs the
// handshake, so that a slow peer does not block the accept loop. A nil identity
// returns conn unchanged.
func (i *Identity) wrapAccepted(conn net.Conn) net.Conn {
	if i == nil {
		return conn
	}
	return &handshakeConn{Conn: tls.Server(conn, i.config), started: time.Now()}
}

// handshake performs the TLS handshake on a dialed connection. A nil identity
// returns conn unchanged.
func (i *Identity) handshake(conn net.Conn) (net.Conn, error) {
	if i == nil {
		return conn, nil
	}
	secured := tls.Client(conn, i.config)
	if err := secured.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	if err := secured.Handshake(); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "TLS handshake"), conn.Close())
	}
	return secured, secured.SetDeadline(time.Time{})
}

// handshakeConn limits the time that a peer may take for the TLS handshake.
type handshakeConn struct {
	net.Conn

	started  time.Time
	verified bool
}

// Read performs the handshake if it is still due, then reads. Only one goroutine
// may call Read.
func (c *handshakeConn) Read(into []byte) (int, error) {
	if c.verified {
		return c.Conn.Read(into)
	}
	if err := c.SetReadDeadline(c.started.Add(handshakeTimeout)); err != nil {
		return 0, err
	}
	if err := c.Conn.(*tls.Conn).Handshake(); err != nil {
		return 0, err
	}
	c.verified = true
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return c.Conn.Read(into)
}
