package keys_test

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

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/keys"
	"github.com/wigeonusher/wigeonusher/node/settings"
)

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func template(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	own := template(name, 1)
	own.IsCA, own.BasicConstraintsValid, own.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, own, own, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{key: key, cert: cert, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write puts a certificate with the serial number, its key and the authority
// into files.
func (a *authority) write(t *testing.T, dir string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template("instance", serial), a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile:  filepath.Join(dir, "key.pem"),
		CAFile:   filepath.Join(dir, "ca.pem"),
	}
	assert.NilError(t, os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	assert.NilError(t, os.WriteFile(files.CAFile, a.pem, 0o600))
	return files
}

// handshake connects a client to a server and returns the serial number that
// the client saw.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		served <- conn.(*tls.Conn).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	secured := tls.Client(conn, client)
	if err := secured.Handshake(); err != nil {
		return 0, err
	}
	if err := <-served; err != nil {
		return 0, err
	}
	return secured.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestPeersOfOneAuthorityTrustEachOther(t *testing.T) {
	files := newAuthority(t, "fleet").write(t, t.TempDir(), 7)
	server, err := keys.Server(files)
	assert.NilError(t, err)
	client, err := keys.Client(files)
	assert.NilError(t, err)
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(7))
}

func TestStrangersAreRefused(t *testing.T) {
	ours := newAuthority(t, "fleet").write(t, t.TempDir(), 7)
	theirs := newAuthority(t, "stranger").write(t, t.TempDir(), 8)
	server, err := keys.Server(ours)
	assert.NilError(t, err)
	client, err := keys.Client(theirs)
	assert.NilError(t, err)
	_, err = handshake(t, server, client)
	assert.ErrorContains(t, err, "")
	assert.Assert(t, err != nil)
}

func TestStrangersServersAreRefused(t *testing.T) {
	ours := newAuthority(t, "fleet").write(t, t.TempDir(), 7)
	theirs := newAuthority(t, "stranger").write(t, t.TempDir(), 8)
	theirs.CAFile = ""
	server, err := keys.Server(theirs)
	assert.NilError(t, err)
	client, err := keys.Client(ours)
	assert.NilError(t, err)
	_, err = handshake(t, server, client)
	assert.ErrorContains(t, err, "certificate")
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	fleet := newAuthority(t, "fleet")
	files := fleet.write(t, dir, 7)
	server, err := keys.Server(files)
	assert.NilError(t, err)
	client, err := keys.Client(files)
	assert.NilError(t, err)
	fleet.write(t, dir, 9)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(files.CertFile, later, later))
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		serial, err := handshake(t, server, client)
		assert.NilError(t, err)
		if serial == 9 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("changed certificate not taken up")
}
