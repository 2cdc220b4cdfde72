package sidecar

//go:generate go tool msgp -file news.go -o news_gen.go -unexported -tests=false -io=false
//go:generate go tool msgp -file relay.go -o relay_gen.go -unexported -tests=false -io=false
