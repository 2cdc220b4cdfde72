package cell

//go:generate go tool msgp -file member.go -o member_gen.go -tests=false -io=false
//go:generate go tool msgp -file grant.go -o grant_gen.go -tests=false -io=false
//go:generate go tool msgp -file load.go -o load_gen.go -tests=false -io=false
