package ident

//go:generate go tool msgp -file ident.go -o ident_gen.go -tests=false -io=false
