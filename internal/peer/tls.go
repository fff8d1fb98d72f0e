package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Security holds the paths of the PEM files for mutual TLS between peers. The zero
// value means plain TCP.
type Security struct {
	Certificate string
	Key         string
	Authority   string
}

// Config returns the TLS configuration for both sides, or nil for plain TCP. Each
// side must present a certificate issued by the authority.
func (s Security) Config() (*tls.Config, error) {
	if s == (Security{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	pem, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "read peer certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("peer certificate authority %s holds no certificate", s.Authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// Dialer returns a DialFunc over TCP connections that dial opens, with TLS unless
// config is nil.
func Dialer(config *tls.Config, dial func(ctx context.Context, network, addr string) (net.Conn, error)) DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, "tcp", addr)
		if err != nil || config == nil {
			return conn, errors.Wrap(err, "dial peer")
		}
		return handshake(ctx, conn, config, addr)
	}
}

// handshake returns the TLS connection over conn, whose peer must have a
// certificate for addr's host. It closes conn if it fails.
func handshake(ctx context.Context, conn net.Conn, config *tls.Config, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "parse peer address")
	}
	config = config.Clone()
	config.ServerName = host
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "TLS handshake with peer")
	}
	return secured, nil
}

// Secure returns l, with TLS unless config is nil.
func Secure(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}
