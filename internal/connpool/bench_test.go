package connpool

import (
	"bufio"
	"bytes"
	"net"
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
)

// benchHead is the head of a usual response, without the fields that delimit the body.
const benchHead = "HTTP/1.1 200 OK\r\nId: 9c41d07be2a35f68\r\nProof: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 2,0,5,100\r\n" +
	"Content-Type: application/octet-stream\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\nKeep-Alive: timeout=10\r\n"

// benchResponses holds usual responses.
var benchResponses = map[string]string{
	"400 B":  benchHead + "Content-Length: 400\r\n\r\n" + strings.Repeat("x", 400),
	"64 KiB": benchHead + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 64<<10),
	"chunks": benchHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("100\r\n"+strings.Repeat("x", 256)+"\r\n", 8) + "0\r\n\r\n",
}

// endlessReader repeats the same bytes, at most one copy a read.
type endlessReader struct {
	text []byte
	bytes.Reader
}

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.Len() == 0 {
		r.Reset(r.text)
	}
	return r.Reader.Read(p)
}

// BenchmarkReadResponse reads responses from memory.
func BenchmarkReadResponse(b *testing.B) {
	for name, text := range benchResponses {
		b.Run(name, func(b *testing.B) {
			pool := &Pool{bodies: bodyLimits{bodylimit.NewMemory(defaultBodyMemory, func() {}), defaultMaxBody}}
			src, _ := net.Pipe()
			defer src.Close()
			c := &conn{pool: pool, netConn: src}
			c.br = bufio.NewReaderSize(responsecheck.NewReader(&endlessReader{text: []byte(text)}), bufferBytes)
			b.ReportAllocs()
			for b.Loop() {
				_, body, err := c.readOne(false)
				if err != nil {
					b.Fatal(err)
				}
				body.Release()
			}
		})
	}
}
