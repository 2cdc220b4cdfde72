package keyspace

import "testing"

func TestDivideCoversTheHashSpaceWithoutOverlap(t *testing.T) {
	for n := 1; n <= 64; n++ {
		ranges := Divide(n)
		if ranges[0].First != 0 || ranges[n-1].Last != MaxPoint {
			t.Fatalf("Divide(%d) does not reach both ends: %v", n, ranges)
		}
		for i := 1; i < n; i++ {
			if ranges[i].First != ranges[i-1].Last+1 {
				t.Fatalf("Divide(%d): range %d starts at %v after %v", n, i, ranges[i], ranges[i-1])
			}
		}
	}
}

func TestHashDoesNotAllocate(t *testing.T) {
	key := []byte("report-4711")
	if n := testing.AllocsPerRun(100, func() { Hash("reports", key) }); n != 0 {
		t.Fatalf("Hash allocates %v times", n)
	}
}
