package logwire

//go:generate go tool msgp -file batch.go -o batch_gen.go -tests=false -io=false
