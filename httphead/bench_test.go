package httphead

import (
	"strings"
	"testing"
)

// BenchmarkResponse validates a head with as many fields as usual.
func BenchmarkResponse(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\nServer: bookings/2.4\r\n" +
		"Content-Type: application/json; charset=utf-8\r\nRequest-Id: 4f1c2a7e9b3d\r\nStamp: 0123456789abcdef0123456789abcdef\r\nCache-Control: no-store\r\nContent-Length: 5\r\n\r\n")
	b.ReportAllocs()
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		if h, err := Response(head); err != nil || h.Size != len(head) {
			b.Fatalf("size %d, error %v", h.Size, err)
		}
	}
}

// BenchmarkHeadInParts validates a head of 16 kB that arrives byte by byte.
func BenchmarkHeadInParts(b *testing.B) {
	for name, fields := range map[string]string{"one line": "A: " + strings.Repeat("x", 16000) + "\r\n", "lines": strings.Repeat("A:\r\n", 4000)} {
		head := []byte("GET / HTTP/1.1\r\n" + fields + "\r\n")
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s := NewRequestScanner()
				size, err := 0, error(nil)
				for n := 0; n <= len(head) && size == 0 && err == nil; n++ {
					size, err = s.Scan(head[:n])
				}
				if size != len(head) || err != nil {
					b.Fatalf("size %d, error %v", size, err)
				}
			}
		})
	}
}
