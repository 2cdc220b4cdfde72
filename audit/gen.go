package audit

//go:generate go tool msgp -file command.go -o command_gen.go -tests=false -io=false
