package keyspace

//go:generate go tool msgp -file range.go -o range_gen.go -tests=false -io=false
