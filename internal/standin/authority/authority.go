// Package authority is a stand-in for whoever signs an organization's certificates.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates, and keeps them as PEM files in a folder.
type Authority struct {
	CA string // path of its own certificate

	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	last int64
}

// New returns an authority whose files go into a folder.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, key: key, CA: filepath.Join(dir, "ca.pem")}
	a.cert = a.template("authority")
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	a.cert.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return a, writePEM(a.CA, "CERTIFICATE", der)
}

func (a *Authority) template(name string) *x509.Certificate {
	a.last++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.last), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Issue writes a certificate for a name, and its key, and returns the paths.
func (a *Authority) Issue(name string) (certificate, key string, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.cert, k.Public(), a.key)
	if err != nil {
		return "", "", err
	}
	secret, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return "", "", err
	}
	certificate = filepath.Join(a.dir, fmt.Sprintf("%s-%d.pem", name, a.last))
	key = filepath.Join(a.dir, fmt.Sprintf("%s-%d.key", name, a.last))
	if err := writePEM(certificate, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certificate, key, writePEM(key, "EC PRIVATE KEY", secret)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
