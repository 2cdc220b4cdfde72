package service

//go:generate go tool msgp -file spec.go -o spec_gen.go -tests=false -io=false
