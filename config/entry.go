package config

//msgp:limit arrays:65536 maps:16
//msgp:tuple Entry
//msgp:replace platformlog.Offset with:uint64

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// Entry is the newest accepted change of one service. Body is kept as it was
// published, so that a snapshot appended by an older daemon preserves bodies of
// a newer schema. Retired services keep their entry: without it, a delayed
// change that expects an old version would be accepted. Entries are immutable.
type Entry struct {
	Service ident.Service      `msg:"s"`
	Version platformlog.Offset `msg:"v"` // offset of the accepted change
	Time    int64              `msg:"t"` // append time of the change, Unix nanoseconds
	Author  string             `msg:"a"`
	Nonce   uint64             `msg:"n"`
	Kind    Kind               `msg:"k"`
	Schema  int                `msg:"c"`
	Body    []byte             `msg:"d"`
	// LastSupported is the newest accepted body that the reader could decode. It
	// is set only while the reader can't decode Body.
	LastSupported []byte `msg:"u"`
}

// spec decodes the newest body that a reader supporting the schema can decode.
// The error says why Body itself is not in force. Both are nil if the service is
// retired.
func (e *Entry) spec(schema int) (*service.Spec, error) {
	spec, err := e.decodeBody(schema)
	if err == nil || len(e.LastSupported) == 0 {
		return spec, err
	}
	last, lastErr := decodeSpec(e.Service, e.LastSupported)
	if lastErr != nil {
		return nil, err
	}
	return last, err
}

func (e *Entry) decodeBody(schema int) (*service.Spec, error) {
	if e.Schema > schema || e.Kind != KindPublish && e.Kind != KindRetire {
		return nil, &NewerSchemaError{Service: e.Service, Version: e.Version, Kind: e.Kind, Schema: e.Schema}
	}
	if e.Kind == KindRetire {
		return nil, nil
	}
	return decodeSpec(e.Service, e.Body)
}

func decodeSpec(svc ident.Service, body []byte) (*service.Spec, error) {
	spec := new(service.Spec)
	if _, err := spec.UnmarshalMsg(body); err != nil {
		return nil, &UndecodableError{Service: svc, Cause: err}
	}
	if spec.Name != svc {
		return nil, &UndecodableError{Service: svc, Cause: fmt.Errorf("the body names service %q", spec.Name)}
	}
	return spec, nil
}
