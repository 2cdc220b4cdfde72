package sidecar

//go:generate go tool msgp -file directory_update.go -o directory_update_gen.go -unexported -tests=false -io=false
//go:generate go tool msgp -file relay.go -o relay_gen.go -unexported -tests=false -io=false
