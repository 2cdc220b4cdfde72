package keyspace

import (
	"bytes"
	"testing"
)

// TestHashOfShortAndLongInputsAgree compares both ways of hashing on inputs
// around the limit between them.
func TestHashOfShortAndLongInputsAgree(t *testing.T) {
	for n := range shortInput + 8 {
		key := bytes.Repeat([]byte{byte(n)}, n)
		if got, want := Hash("reports", key), hashLong("reports", key); got != want {
			t.Errorf("key of %d bytes: %x, want %x", n, got, want)
		}
	}
	if Hash("a", []byte("b")) == Hash("ab", nil) {
		t.Error("service and key are not kept apart")
	}
}
