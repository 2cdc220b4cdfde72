package sidecar

import (
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const smallestMemory = 184 << 20 // bytes of memory of the smallest machine

// heapPeak samples the memory of live and unswept objects until stop is called,
// which returns the largest value in bytes.
func heapPeak() (stop func() uint64) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	var ended atomic.Bool
	peak := make(chan uint64)
	go func() {
		highest := uint64(0)
		for !ended.Load() {
			metrics.Read(sample)
			highest = max(highest, sample[0].Value.Uint64())
			time.Sleep(time.Millisecond)
		}
		peak <- highest
	}()
	return func() uint64 {
		ended.Store(true)
		return <-peak
	}
}

// Requests that a target answers without end must be answered as unknown, and
// neither the memory nor the requests of other targets may suffer.
func TestEndlessAnswersOfTheTargetStayBounded(t *testing.T) {
	defer debug.SetMemoryLimit(LimitHeap(smallestMemory))
	e := &platformtest.Endless{Prefix: platformtest.SignedHead + "Content-Length: 99999999999\r\n\r\n", Repeat: strings.Repeat("x", 4096)}
	d := deployWith(t, func(n *testNode) {
		if n.settings.Service == plainService {
			n.target.ListenAddr = fmt.Sprintf("%s:%d", n.settings.IP, 7007)
			n.settings.MemoryBytes = smallestMemory
			n.target.Slots = 18
			if _, err := e.Listen(n.settings.TargetAddr); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
		}
	}, plainService, keyedService)
	eventually(t, "requests reach the target", func() bool {
		return d.nodes[1].call(http.MethodPost, "/book/a", newID(), platformtest.NoKey).Status == http.StatusBadGateway
	})
	eventually(t, "keys are served", func() bool {
		return d.nodes[1].call(http.MethodGet, "/view/a", newID(), 7).Status == http.StatusOK
	})
	for _, prefix := range []string{"Content-Length: 33554433\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1fffff0\r\n", "\r\n", "A: "} {
		e.SetPrefix(platformtest.SignedHead + prefix)
		stop := heapPeak()
		var calls sync.WaitGroup
		for i := range 36 {
			calls.Go(func() {
				a := d.nodes[i%2].call(http.MethodPost, "/book/a", newID(), platformtest.NoKey)
				if a.Status != http.StatusBadGateway && a.Status != http.StatusGatewayTimeout && a.Status != http.StatusServiceUnavailable {
					t.Errorf("%q: status %d, error %v", prefix, a.Status, a.Err)
				}
			})
		}
		for key := range 50 {
			if a := d.nodes[1].call(http.MethodGet, "/view/a", newID(), key); a.Status != http.StatusOK {
				t.Errorf("%q: a request to another target gets status %d, error %v", prefix, a.Status, a.Err)
			}
		}
		calls.Wait()
		if peak := stop(); peak > smallestMemory {
			t.Errorf("%q: the heap of both daemons reached %d MB, want at most %d MB", prefix, peak>>20, smallestMemory>>20)
		}
		eventually(t, "connections to the target are closed", func() bool {
			open, _ := e.Conns()
			_, idle := d.nodes[0].daemon.backend.incarnation.Load().client.Conns()
			return open == idle // unused ones
		})
	}
	eventually(t, "calls to the target end", func() bool {
		stacks := make([]byte, 4<<20)
		return !strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "target.(*Client).Do")
	})
	if text := d.nodes[0].metrics(t); !strings.Contains(text, `parsley_messages_too_large_total{source="target"}`) || !strings.Contains(text, `parsley_receive_memory_bytes{source="target"} 0`) {
		t.Errorf("the metrics say nothing of the messages, or memory stays reserved")
	}
}
