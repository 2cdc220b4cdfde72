package sidecar

//msgp:tuple relayCall relayAnswer

import (
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
)

// relayCall is the request to another daemon to make one call to the store.
type relayCall struct {
	Method string        `msg:"m"`
	URI    string        `msg:"u"`
	Body   []byte        `msg:"b"`
	Wait   time.Duration `msg:"w"`
}

// relayAnswer is the answer to a relayCall.
type relayAnswer struct {
	Status int    `msg:"s"`
	Body   []byte `msg:"b"`
	// NotSent is set if the daemon did not make the call.
	NotSent bool `msg:"n"`
}

// encodeRelayedAnswer encodes the store's answer. The era follows the relayAnswer
// instead of being one of its fields, because daemons of earlier versions reject an
// answer with another number of fields and ignore what follows it.
func encodeRelayedAnswer(a *platform.StoreAnswer) ([]byte, error) {
	b, err := (&relayAnswer{Status: a.Status, Body: a.Body}).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return msgp.AppendUint32(b, uint32(a.Era)), nil
}

// decodeRelayedAnswer decodes the answer to a relayCall. The error is
// errStoreUnreachable if the daemon did not make the call. An answer of a daemon of an
// earlier version states no era.
func decodeRelayedAnswer(b []byte) (*platform.StoreAnswer, error) {
	var a relayAnswer
	rest, err := a.UnmarshalMsg(b)
	if err != nil {
		return nil, fmt.Errorf("decode relayed answer: %w", err)
	}
	if a.NotSent {
		return nil, errStoreUnreachable
	}
	era := uint32(0)
	if len(rest) > 0 {
		if era, _, err = msgp.ReadUint32Bytes(rest); err != nil || era > metastore.MaxEra {
			return nil, fmt.Errorf("%w: era of a relayed answer", metastore.ErrBadAnswer)
		}
	}
	return &platform.StoreAnswer{Status: a.Status, Body: a.Body, Era: metastore.Era(era)}, nil
}
