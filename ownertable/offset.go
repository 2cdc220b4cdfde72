package ownertable

// eraShift is where the era begins in an offset.
const eraShift = 32

// Offset returns the offset of the record at a position of the directory in an era
// of the store. Offsets order by era, then by position, because a store that goes
// back to an older copy assigns positions again but counts its era up. A store that
// states no era is in era 0.
func Offset(era uint32, position uint64) uint64 { return uint64(era)<<eraShift | position }

// EraOf returns the era of an offset.
func EraOf(offset uint64) uint32 { return uint32(offset >> eraShift) }

// PositionOf returns the number of records before an offset.
func PositionOf(offset uint64) uint64 { return offset & (1<<eraShift - 1) }
