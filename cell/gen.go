package cell

//go:generate go tool msgp -file member.go -o member_gen.go -tests=false -io=false
//go:generate go tool msgp -file grant.go -o grant_gen.go -tests=false -io=false
//go:generate go tool msgp -file load.go -o load_gen.go -tests=false -io=false
//go:generate go tool msgp -file message_lease.go -o message_lease_gen.go -tests=false -io=false
//go:generate go tool msgp -file message_deputy.go -o message_deputy_gen.go -tests=false -io=false
//go:generate go tool msgp -file message_handover.go -o message_handover_gen.go -tests=false -io=false
//go:generate go tool msgp -file record_body.go -o record_body_gen.go -tests=false -io=false
//go:generate go tool msgp -file snapshot.go -o snapshot_gen.go -tests=false -io=false
