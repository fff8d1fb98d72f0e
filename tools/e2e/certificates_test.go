package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// certificates holds the paths of the files for mutual TLS between peers on the
// loopback address.
type certificates struct {
	certificate, key, authority string
}

func newCertificates(t *testing.T) certificates {
	t.Helper()
	dir := t.TempDir()
	root, rootKey := template("authority"), newKey(t)
	root.IsCA = true
	root.BasicConstraintsValid = true
	root.KeyUsage = x509.KeyUsageCertSign
	rootDER := sign(t, root, root, rootKey, rootKey)
	leaf, leafKey := template("daemon"), newKey(t)
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	leafDER := sign(t, leaf, root, leafKey, rootKey)
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		t.Fatal(err)
	}
	return certificates{
		certificate: writePEM(t, dir, "cert.pem", "CERTIFICATE", leafDER),
		key:         writePEM(t, dir, "key.pem", "EC PRIVATE KEY", keyDER),
		authority:   writePEM(t, dir, "ca.pem", "CERTIFICATE", rootDER),
	}
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, cert, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
