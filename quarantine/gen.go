package quarantine

//go:generate go tool msgp -file record.go -o record_gen.go -tests=false -io=false
//go:generate go tool msgp -file fingerprint.go -o fingerprint_gen.go -tests=false -io=false
