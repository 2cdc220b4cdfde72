package sidecar

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/wire"
)

// requestContent returns what a request has in common with repeats of it. It refers to the
// request's memory.
func requestContent(req *wire.Request) quarantine.Content {
	c := quarantine.Content{Method: req.Method, URI: req.URI, Body: req.Body}
	for i := range req.Headers {
		switch h := &req.Headers[i]; {
		case bytes.EqualFold(h.Name, hostHeader):
			c.Host = h.Value
		case platform.IdentifiesCaller(h.Name):
			c.Caller = append(append(append(c.Caller, h.Name...), ':'), h.Value...)
			c.Caller = append(c.Caller, '\n')
		}
	}
	return c
}

var hostHeader = []byte(fasthttp.HeaderHost)

// findEvidence returns the evidence against a request that this daemon has.
func (d *Daemon) findEvidence(req *wire.Request) (quarantine.Fingerprint, quarantine.Evidence) {
	t := d.suspects.Load()
	if t.Empty() {
		return quarantine.Fingerprint{}, quarantine.Evidence{}
	}
	c := requestContent(req)
	return t.Find(&c)
}
