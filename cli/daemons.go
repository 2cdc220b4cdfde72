package cli

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/settings"
	"github.com/parsleystack/parsleystack/yamlfile"
)

// loadDaemons reads all settings files of a directory. Faults of all files are
// returned together as yamlfile.Errors, next to the valid files.
func loadDaemons(dir string) ([]*settings.Daemon, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("there is no settings file (*.yaml) in %s; name the directory with --daemons", dir)
	}
	slices.Sort(paths)
	var daemons []*settings.Daemon
	var faults yamlfile.Errors
	for _, p := range paths {
		d, err := settings.Load(p)
		var list yamlfile.Errors
		switch {
		case errors.As(err, &list):
			faults = append(faults, list...)
		case err != nil:
			return nil, err
		default:
			daemons = append(daemons, d)
		}
	}
	if len(faults) > 0 {
		return daemons, faults
	}
	return daemons, nil
}

// addrs returns the admin addresses that the arguments name.
func (a *DaemonArgs) addrs() ([]string, error) {
	if len(a.Admin) > 0 {
		return a.Admin, nil
	}
	if a.Daemons == "" {
		return nil, errors.New("no daemon is named; name one with --admin IP:PORT, or all with --daemons DIR")
	}
	daemons, err := loadDaemons(a.Daemons)
	if err != nil {
		return nil, err
	}
	var addrs []string
	for _, d := range daemons {
		addrs = append(addrs, d.Listen.Admin)
	}
	return addrs, nil
}

// clients returns a client for each daemon that the arguments name.
func (a *DaemonArgs) clients() ([]daemonClient, error) {
	addrs, err := a.addrs()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := a.config()
	if err != nil {
		return nil, err
	}
	clients := make([]daemonClient, len(addrs))
	for i, addr := range addrs {
		clients[i] = daemonClient{addr: addr, Client: admin.NewClient(addr, tlsConfig)}
	}
	return clients, nil
}

// daemonClient is a client with the address of its daemon.
type daemonClient struct {
	addr string
	*admin.Client
}

// config returns the TLS configuration, or nil if no file is named.
func (a *TLSArgs) config() (*tls.Config, error) {
	if a.Cert == "" && a.Key == "" && a.CA == "" {
		return nil, nil
	}
	if a.Cert == "" || a.Key == "" || a.CA == "" {
		return nil, errors.New("TLS needs three files; name --cert, --key-file and --ca, or none of them for daemons with tls.insecure")
	}
	cert, err := tls.LoadX509KeyPair(a.Cert, a.Key)
	if err != nil {
		return nil, fmt.Errorf("the operator's certificate is not usable: %w; name a matching pair with --cert and --key-file", err)
	}
	pem, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("the authorities can't be read: %w; name an existing file with --ca", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no certificate; name a PEM file with --ca", a.CA)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
