package directory

//go:generate go tool msgp -file query.go -o query_gen.go -tests=false -io=false
