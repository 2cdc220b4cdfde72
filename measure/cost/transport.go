package cost

import (
	"context"
	"fmt"
	"net"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

var frameBytes = []int{16, 128, 512, 2048, 8192}

// framesPerCall counts the frame of a call and that of its reply.
const framesPerCall = 2

// echoHandler replies to every call with the body of the call.
type echoHandler struct{}

func (echoHandler) ServeRequest(*transport.Exchange) {}

func (echoHandler) ServeCellMessage(ident.Node, []byte) {}

func (echoHandler) ServeCall(_ context.Context, _ ident.Node, _ wire.CallKind, body []byte) ([]byte, error) {
	return body, nil
}

// Transport measures the CPU time of frames between daemons over loopback, with
// both ends in one process and without TLS.
func Transport(facts measure.Facts) ([]*measure.Series, error) {
	cpu := &measure.Series{Name: "frame-cpu", Quantity: "processor time of one control frame, sending and receiving together, by body bytes", Unit: "ns", Facts: facts}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("cost: %w", err)
	}
	server := transport.NewServer(transportConfig(1), echoHandler{}, zap.NewNop())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool := transport.NewPool(transportConfig(0))
	defer pool.Close()
	for _, size := range frameBytes {
		body := make([]byte, size)
		ns, err := measure.CPUPerCall(3000, func() error {
			_, err := pool.Call(context.Background(), listener.Addr().String(), 1, body)
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("cost: call of %d bytes: %w", size, err)
		}
		cpu.Add(float64(size), ns/framesPerCall)
	}
	return []*measure.Series{cpu}, nil
}

func transportConfig(member int) transport.Config {
	return transport.Config{Hello: wire.NewHello(serviceName(0), memberNode(0, member), "zone-00")}
}
