package sidecar

//go:generate go tool msgp -file relay.go -o relay_gen.go -unexported -tests=false -io=false
