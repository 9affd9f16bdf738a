// Package keys makes TLS configurations from key files, and reads the files
// again when they change.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/settings"
)

// checkInterval is the least time between looks whether the files changed.
const checkInterval = time.Second

// pair is a certificate that follows its files. Its methods may be called from
// several goroutines.
type pair struct {
	files settings.TLS

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	current *tls.Certificate
}

// get returns the certificate. If files that changed cannot be read, the last
// one that could stays in use.
func (p *pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.current != nil && now.Sub(p.checked) < checkInterval {
		return p.current, nil
	}
	p.checked = now
	changed := newest(p.files.CertFile, p.files.KeyFile)
	if p.current != nil && changed.Equal(p.changed) {
		return p.current, nil
	}
	loaded, err := tls.LoadX509KeyPair(p.files.CertFile, p.files.KeyFile)
	if err != nil {
		if p.current != nil {
			return p.current, nil
		}
		return nil, eris.Wrap(err, "keys: load certificate")
	}
	p.current = &loaded
	p.changed = changed
	return p.current, nil
}

// newest returns when one of the files changed last.
func newest(files ...string) time.Time {
	var last time.Time
	for _, file := range files {
		info, err := os.Stat(file)
		if err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// Server returns the configuration of a listener. With a CA file, clients must
// show a certificate of that authority.
func Server(files settings.TLS) (*tls.Config, error) {
	p := &pair{files: files}
	if _, err := p.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
	}
	if files.CAFile == "" {
		return config, nil
	}
	authority, err := authorityOf(files.CAFile)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = authority
	return config, nil
}

// Client returns the configuration of connections to peers. The peer's
// certificate must be of the same authority; its name is not checked, because
// instances are known by IP numbers that change.
func Client(files settings.TLS) (*tls.Config, error) {
	p := &pair{files: files}
	if _, err := p.get(); err != nil {
		return nil, err
	}
	authority, err := authorityOf(files.CAFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		InsecureSkipVerify:   true, // replaced by VerifyConnection
		VerifyConnection:     func(state tls.ConnectionState) error { return verify(state, authority) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.get() },
	}, nil
}

// verify checks the chain of a peer's certificate, but not its name.
func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("keys: peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates})
	return eris.Wrap(err, "keys: peer's certificate")
}

func authorityOf(file string) (*x509.CertPool, error) {
	encoded, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "keys: read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(encoded) {
		return nil, eris.Errorf("keys: no certificate in %s", file)
	}
	return pool, nil
}
