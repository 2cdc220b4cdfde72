package metastore

import "fmt"

const (
	// MaxEra is the largest era of an Offset. Fencing tokens are derived from offsets
	// and sent as JSON integers; with this bound, readers that use floating-point
	// numbers represent them exactly.
	MaxEra = 1<<21 - 1
	// MaxPosition is the largest position of an Offset.
	MaxPosition = 1<<positionBits - 1

	positionBits = 32
)

// Era counts how often the store has come back from an older copy of itself. Records
// that the copy lacks are lost, and their positions are assigned again. A store that
// states no era is in era 0.
type Era uint32

// Offset identifies a record of a partition by the era in which it was read or
// appended and by its position. Offsets of a later era are greater than all offsets of
// earlier ones, also where the store has gone back to a lower position.
type Offset int64

// NewOffset returns the offset of a position in an era. It returns an *OffsetError if
// one of them is out of range.
func NewOffset(era Era, position int64) (Offset, error) {
	if era > MaxEra || position < 0 || position > MaxPosition {
		return 0, &OffsetError{Era: era, Position: position}
	}
	return Offset(int64(era)<<positionBits | position), nil
}

// Era returns the era of the offset.
func (o Offset) Era() Era { return Era(o >> positionBits) }

// Position returns the number of records before the offset in its partition.
func (o Offset) Position() int64 { return int64(o) & MaxPosition }

// OffsetError reports an era or a position that an Offset cannot represent.
type OffsetError struct {
	Era      Era
	Position int64
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("metastore: no offset for position %d in era %d, at most %d and %d; check that the address is that of the store", e.Position, e.Era, MaxPosition, MaxEra)
}
