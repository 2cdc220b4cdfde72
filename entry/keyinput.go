package entry

import "github.com/valyala/fasthttp"

// keyInput adapts an HTTP request to route.KeyInput.
type keyInput struct {
	header      *fasthttp.RequestHeader
	path, query []byte
}

// Path implements route.KeyInput.
func (k *keyInput) Path() []byte { return k.path }

// Query implements route.KeyInput.
func (k *keyInput) Query() []byte { return k.query }

// Header implements route.KeyInput.
func (k *keyInput) Header(name string) ([]byte, bool) {
	values := k.header.PeekAll(name)
	if len(values) > 1 {
		return nil, false
	}
	if len(values) == 0 {
		return nil, true
	}
	return values[0], true
}
