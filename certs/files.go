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
	CA   string // authorities that peer certificates are verified against
}

// credentials holds the parsed content of the files.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

func (f *Files) load() (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certs: %s and %s can't be used: %w; write a matching certificate and key in PEM form", f.Cert, f.Key, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("certs: the certificate authorities can't be read: %w; write %s in PEM form", err, f.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certs: %s holds no certificate; write at least one in PEM form", f.CA)
	}
	return &credentials{cert: cert, roots: roots}, nil
}

// filesVersion identifies a version of the files by their modification times and
// sizes.
type filesVersion [3]fileVersion

type fileVersion struct {
	modified time.Time
	size     int64
}

// version returns the current version. A file that is missing has the zero value.
func (f *Files) version() filesVersion {
	var v filesVersion
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			v[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return v
}
