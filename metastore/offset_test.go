package metastore

import (
	"errors"
	"testing"
)

// Offsets must order by era first: a store that has gone back assigns lower positions
// again, and a fencing token that is derived from one must still be higher.
func TestOffsetsRiseOverEras(t *testing.T) {
	last := Offset(-1)
	for _, in := range []struct {
		era      Era
		position int64
	}{{0, 0}, {0, 7}, {0, MaxPosition}, {1, 0}, {1, 3}, {2, 1}, {MaxEra, MaxPosition}} {
		o, err := NewOffset(in.era, in.position)
		if err != nil || o <= last || o.Era() != in.era || o.Position() != in.position {
			t.Errorf("%v: %d after %d, %v", in, o, last, err)
		}
		last = o
	}
	if last+1 > 1<<53 {
		t.Errorf("the highest token %d is not exact as a floating-point number", last+1)
	}
}

func TestOffsetOutOfRange(t *testing.T) {
	for _, in := range []struct {
		era      Era
		position int64
	}{{MaxEra + 1, 0}, {0, -1}, {0, MaxPosition + 1}} {
		var bad *OffsetError
		if o, err := NewOffset(in.era, in.position); !errors.As(err, &bad) {
			t.Errorf("%v: %d, %v", in, o, err)
		}
	}
}
