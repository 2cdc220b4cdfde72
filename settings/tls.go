package settings

import (
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// TLS holds the files for mutual TLS with other daemons and with operators. The
// files are PEM-encoded and are reloaded when they change.
type TLS struct {
	CertFile string `yaml:"cert_file"` // certificate of this daemon
	KeyFile  string `yaml:"key_file"`  // private key of the certificate
	CAFile   string `yaml:"ca_file"`   // authorities that peer certificates are verified against
	// Operators lists the common names of the certificates that may run operator
	// commands at the admin endpoint. If it is empty, every certificate signed by
	// the authorities may, including those of other daemons.
	Operators []string `yaml:"operators"`
	// Insecure turns TLS off. Anyone who can reach the daemon's addresses may then
	// run operator commands.
	Insecure bool `yaml:"insecure"`
}

func (t *TLS) check(c *yamlfile.Checker) {
	if t.Insecure {
		t.checkInsecure(c)
		return
	}
	const remedy = "name the file, or set tls.insecure: true to run without TLS"
	checkFile(c, "tls.cert_file", t.CertFile, remedy)
	checkFile(c, "tls.key_file", t.KeyFile, remedy)
	checkFile(c, "tls.ca_file", t.CAFile, remedy)
}

func (t *TLS) checkInsecure(c *yamlfile.Checker) {
	if t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" || len(t.Operators) > 0 {
		c.Fail("tls.insecure", "TLS is off but files or operators are named", "remove tls.insecure, or remove the other fields")
	}
}

func checkFile(c *yamlfile.Checker, field, path, remedy string) {
	if !c.Required(field, path, remedy) {
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.Fail(field, fmt.Sprintf("the file can't be read: %v", err), "create the file or correct its path")
	}
}
