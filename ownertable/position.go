package ownertable

// eraShift is the position of the era in a position. A partition holds far fewer
// than 2^32 records in one era.
const eraShift = 32

// Position returns the position of the record at an offset of the store in an
// era. Positions order by era, then by offset, because a store that goes back to
// an older copy gives offsets out again but counts its era up. Era 0 is that of a
// store that states none; the position is then the offset.
func Position(era uint32, offset uint64) uint64 { return uint64(era)<<eraShift | offset }

// EraOf returns the era of a position.
func EraOf(position uint64) uint32 { return uint32(position >> eraShift) }

// OffsetOf returns the offset of a position in the store.
func OffsetOf(position uint64) uint64 { return position & (1<<eraShift - 1) }
