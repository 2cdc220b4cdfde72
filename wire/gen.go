package wire

//go:generate go tool msgp -file hello.go -o hello_gen.go -tests=false -io=false
//go:generate go tool msgp -file header.go -o header_gen.go -tests=false -io=false
//go:generate go tool msgp -file request.go -o request_gen.go -tests=false -io=false
//go:generate go tool msgp -file response.go -o response_gen.go -tests=false -io=false
//go:generate go tool msgp -file call.go -o call_gen.go -tests=false -io=false
