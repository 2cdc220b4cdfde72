package audit

//go:generate go tool msgp -file order.go -o order_gen.go -tests=false -io=false
