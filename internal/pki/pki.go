// Package pki loads the certificates with which daemons authenticate each other, and
// generates certificates for trials and tests.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// ServerName is the DNS name that the certificate of every daemon must contain. Daemons
// dial each other by IP address, so the name identifies the role and not the instance.
const ServerName = "jackdawloom"

// ErrNoCertificates reports a CA file without a certificate.
var ErrNoCertificates = errors.New("no certificate in file")

// Validity of generated certificates. They are valid from clockSkewAllowance before
// their creation, so that instances whose clocks are behind accept them.
const (
	caValidity         = 10 * 365 * 24 * time.Hour
	leafValidity       = 365 * 24 * time.Hour
	clockSkewAllowance = time.Hour
)

// Authority is a certificate authority that issues daemon certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority generates a key and a self-signed CA certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate CA key: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "jackdawloom CA"},
		NotBefore:             time.Now().Add(-clockSkewAllowance),
		NotAfter:              time.Now().Add(caValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign CA certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue generates a key and a certificate for the daemon with the ID, valid for both
// client and server use.
func (a *Authority) Issue(daemonID string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("generate key: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: daemonID},
		DNSNames:     []string{ServerName},
		NotBefore:    time.Now().Add(-clockSkewAllowance),
		NotAfter:     time.Now().Add(leafValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("sign certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Pool returns a certificate pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// WriteFiles writes ca.pem, and ID.pem and ID.key for each daemon ID.
func (a *Authority) WriteFiles(dir string, daemonIDs ...string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw); err != nil {
		return err
	}
	for _, id := range daemonIDs {
		cert, err := a.Issue(id)
		if err != nil {
			return err
		}
		if err := writeLeaf(dir, id, cert); err != nil {
			return err
		}
	}
	return nil
}

func writeLeaf(dir, id string, cert tls.Certificate) error {
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(filepath.Join(dir, id+".key"), "PRIVATE KEY", key); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, id+".pem"), "CERTIFICATE", cert.Certificate[0])
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), 120)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, fmt.Errorf("generate serial: %w", err)
	}
	return serial, nil
}

// Load reads the CA certificates, and the certificate and key of a daemon.
func Load(caFile, certFile, keyFile string) (tls.Certificate, *x509.CertPool, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return tls.Certificate{}, nil, fmt.Errorf("read CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return tls.Certificate{}, nil, fmt.Errorf("%s: %w", caFile, ErrNoCertificates)
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return tls.Certificate{}, nil, fmt.Errorf("load certificate: %w", err)
	}
	return cert, pool, nil
}

// ServerConfig returns a TLS configuration that rejects clients without a certificate
// signed by an authority of the pool.
func ServerConfig(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// ClientConfig returns a TLS configuration that presents the certificate and accepts
// only daemons whose certificate is signed by an authority of the pool.
func ClientConfig(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}
}
