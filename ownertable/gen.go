package ownertable

//go:generate go tool msgp -file record.go -o record_gen.go -unexported -tests=false -io=false
