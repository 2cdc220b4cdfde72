package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Files names the PEM files of a process.
type Files struct {
	Cert string // certificate, followed by intermediates
	Key  string // private key of the certificate
	CA   string // authorities that others' certificates are checked against
}

// material is what the files hold.
type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

func (f *Files) load() (*material, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certs: %s and %s can't be used: %w; write a matching certificate and key in PEM form", f.Cert, f.Key, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("certs: the authorities can't be read: %w; write %s in PEM form", err, f.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certs: %s holds no certificate; write at least one in PEM form", f.CA)
	}
	return &material{cert: cert, roots: roots}, nil
}

// stamp tells versions of the files apart.
type stamp [3]fileStamp

type fileStamp struct {
	modified time.Time
	size     int64
}

// stamp returns the present version; a file that is missing has the zero value.
func (f *Files) stamp() stamp {
	var s stamp
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			s[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}
