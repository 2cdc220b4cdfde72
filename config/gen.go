package config

//go:generate go tool msgp -file kind.go -o kind_gen.go -tests=false -io=false
//go:generate go tool msgp -file change.go -o change_gen.go -tests=false -io=false
//go:generate go tool msgp -file entry.go -o entry_gen.go -tests=false -io=false
//go:generate go tool msgp -file snapshot.go -o snapshot_gen.go -tests=false -io=false
//go:generate go tool msgp -file pull.go -o pull_gen.go -tests=false -io=false
