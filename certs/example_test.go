package certs_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/certs"
)

func ExampleNewSource() {
	_, err := certs.NewSource(certs.Files{Cert: "cert.pem", Key: "key.pem", CA: "ca.pem"}, nil)
	fmt.Println(err)
	// Output:
	// certs: cert.pem and key.pem can't be used: open cert.pem: no such file or directory; write a matching certificate and key in PEM form
}
