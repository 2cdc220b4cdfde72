package ownertable

//msgp:tuple row tableRecord

// tableSchema is the version of tableRecord.
const tableSchema = 1

// row is a Row in the store. Its first key follows the row before it. Owners
// are indexes into the lists of tableRecord, from 1; 0 is nobody.
type row struct {
	To       uint32 `msg:"t"`
	Token    uint64 `msg:"k"`
	Owner    int    `msg:"o"`
	Next     int    `msg:"n"`
	Revoked  uint8  `msg:"r"`
	Handover string `msg:"h"`
}

// tableRecord is a Table in the store.
type tableRecord struct {
	Schema    uint     `msg:"v"`
	Instances []string `msg:"i,limit=4096"`
	Targets   []string `msg:"t,limit=4096"`
	Born      []int64  `msg:"b,limit=4096"`
	Rows      []row    `msg:"r,limit=65536"`
}
