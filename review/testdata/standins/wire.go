package main

import (
	"embed"
	"fmt"
	"strings"
)

// wireFiles holds the platform's names and the configurations of the cases. They are data,
// since package platform alone may contain the platform's names in its code.
//
//go:embed wire
var wireFiles embed.FS

var wireNames = readNames()

func readNames() map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(string(wireFile("names.txt"))) {
		short, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[short] = name
	}
	return names
}

func wireFile(file string) []byte {
	text, err := wireFiles.ReadFile("wire/" + file)
	if err != nil {
		panic(err) // it is part of the program
	}
	return text
}

// name returns a name of the platform by its short form in wire/names.txt.
func name(short string) string {
	n, ok := wireNames[short]
	if !ok {
		panic("wire/names.txt lacks " + short)
	}
	return n
}

// putConfiguration writes a configuration, as the operator does.
func (c *cluster) putConfiguration(file string) {
	c.store.Put(name("operator"), "config", wireFile(file))
}

// notExecuted is the answer to a request that a backend has not run.
func notExecuted(status, id, instance string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, id, instance, name("not-run"))
}

// success is the answer to a request that a backend has run.
func success(id, instance string) []byte {
	body := "body of " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: stamp.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, name("stamp"), instance, len(body), body)
}
