package keyspace

import (
	"bytes"
	"testing"
)

// TestHashOfShortAndLongInputsAgree compares the one-call and the streaming hash
// on inputs of all sizes up to just above shortInput.
func TestHashOfShortAndLongInputsAgree(t *testing.T) {
	for n := range shortInput + 8 {
		key := bytes.Repeat([]byte{byte(n)}, n)
		if got, want := Hash("reports", key), hashLong("reports", key); got != want {
			t.Errorf("key of %d bytes: %x, want %x", n, got, want)
		}
	}
	if Hash("a", []byte("b")) == Hash("ab", nil) {
		t.Error("different pairs of service and key have the same hash")
	}
}
