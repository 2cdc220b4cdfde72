package clock

import "testing"

// A Fast reading must not be later than a Now reading taken after it.
func TestFastIsNeverLater(t *testing.T) {
	for range 10000 {
		fast, exact := Fast(), Now()
		if fast > exact {
			t.Fatalf("Fast reads %d, a later Now %d", fast, exact)
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkFast(b *testing.B) {
	for b.Loop() {
		Fast()
	}
}
