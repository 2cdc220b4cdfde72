package fleet

//go:generate go tool msgp -file member.go -o member_gen.go -tests=false -io=false
//go:generate go tool msgp -file status.go -o status_gen.go -unexported -tests=false -io=false
