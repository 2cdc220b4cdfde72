package ownertable

//msgp:tuple shardRecord tableRecord heldRecord reportRecord

// tableSchema is the version of tableRecord.
const tableSchema = 1

// shardRecord is the stored form of a Shard. Its first key is the one after the
// last key of the previous shard. Owners are 1-based indexes into the lists of
// tableRecord; 0 means no owner.
type shardRecord struct {
	To       uint32 `msg:"t"`
	Token    uint64 `msg:"k"`
	Owner    int    `msg:"o"`
	Next     int    `msg:"n"`
	Revoked  uint8  `msg:"r"`
	Handover string `msg:"h"`
}

// tableRecord is the stored form of a Table.
type tableRecord struct {
	Schema     uint          `msg:"v"`
	Instances  []string      `msg:"i,limit=4096"`
	Targets    []string      `msg:"t,limit=4096"`
	StartTimes []int64       `msg:"b,limit=4096"`
	Shards     []shardRecord `msg:"r,limit=65536"`
}

// reportSchema is the version of reportRecord.
const reportSchema = 1

// heldRecord is the stored form of a row of a HoldReport.
type heldRecord struct {
	From  uint32 `msg:"f"`
	To    uint32 `msg:"t"`
	Token uint64 `msg:"k"`
}

// reportRecord is the stored form of a HoldReport.
type reportRecord struct {
	Schema       uint         `msg:"v"`
	Era          uint32       `msg:"e"`
	Instance     string       `msg:"i"`
	Target       string       `msg:"t"`
	StartTime    int64        `msg:"b"`
	Process      int64        `msg:"p"`
	UnreportedMS uint32       `msg:"u"`
	Rows         []heldRecord `msg:"r,limit=65536"`
}
