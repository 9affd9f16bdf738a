// Package tlsconfig builds TLS configurations from key files, and reloads the
// certificate and its key when their files change.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/settings"
)

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = time.Second

// certReloader holds a certificate and reloads it when its files change. Its
// methods may be called from several goroutines.
type certReloader struct {
	files settings.TLS

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	current   *tls.Certificate
}

// get returns the certificate. If changed files cannot be loaded, the certificate
// loaded last stays in use.
func (r *certReloader) get() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.current != nil && now.Sub(r.checkedAt) < checkInterval {
		return r.current, nil
	}
	r.checkedAt = now
	modTime := latestModTime(r.files.CertFile, r.files.KeyFile)
	if r.current != nil && modTime.Equal(r.modTime) {
		return r.current, nil
	}
	loaded, err := tls.LoadX509KeyPair(r.files.CertFile, r.files.KeyFile)
	if err != nil {
		if r.current != nil {
			return r.current, nil
		}
		return nil, eris.Wrap(err, "tlsconfig: load certificate")
	}
	r.current = &loaded
	r.modTime = modTime
	return r.current, nil
}

// latestModTime returns the latest modification time of the files. It ignores
// files that cannot be read.
func latestModTime(files ...string) time.Time {
	var latest time.Time
	for _, file := range files {
		info, err := os.Stat(file)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// Server returns the TLS configuration of a listener. With a CA file, clients
// must present a certificate signed by that CA.
func Server(files settings.TLS) (*tls.Config, error) {
	r := &certReloader{files: files}
	if _, err := r.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get() },
	}
	if files.CAFile == "" {
		return config, nil
	}
	roots, err := loadCAPool(files.CAFile)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = roots
	return config, nil
}

// Client returns the TLS configuration of connections to peers. The peer's
// certificate must be signed by the CA. Its name is not checked, because
// instances are contacted at IP addresses that change.
func Client(files settings.TLS) (*tls.Config, error) {
	r := &certReloader{files: files}
	if _, err := r.get(); err != nil {
		return nil, err
	}
	roots, err := loadCAPool(files.CAFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		InsecureSkipVerify:   true, // VerifyConnection checks the chain instead
		VerifyConnection:     func(state tls.ConnectionState) error { return verifyChain(state, roots) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.get() },
	}, nil
}

// verifyChain verifies the chain of a peer's certificate, but not its name.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("tlsconfig: peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return eris.Wrap(err, "tlsconfig: verify peer certificate")
}

// loadCAPool reads the PEM certificates of a CA file.
func loadCAPool(file string) (*x509.CertPool, error) {
	encoded, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "tlsconfig: read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(encoded) {
		return nil, eris.Errorf("tlsconfig: no certificate in %s", file)
	}
	return pool, nil
}
