package responsecheck

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const ok = "HTTP/1.1 200 OK\r\n"

// sound holds bytes of connections that hold nothing malformed.
var sound = []string{
	ok + "Content-Length: 2\r\n\r\nxx",
	ok + "Content-Length: 2\r\n\r\nxx" + ok + "Content-Length: 0\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	ok + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nxx\r\n0a \r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n" + ok + "\r\nxx",
	"HTTP/1.0 599\r\nA:\r\nB: \xff\t\r\n c\r\n\r\nxx\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n",
	"HTTP/1.1 999 \nA: b\nContent-Length: 1\r\n\r\nx",
}

// broken holds the beginnings of connections and the rule that each breaks.
var broken = map[string]Rule{
	"HTTP/1.1 000 X\r\n":     Status,
	"HTTP/1.1 099 X\r\n":     Status,
	"HTTP/1.1 101 X\r\n":     Status,
	"HTTP/1.1 20\r\n":        Status,
	"HTTP/1.1 2x0 OK\r\n":    Status,
	"HTTP/1.1\r\n":           Status,
	"HTTP/9.9 200 OK\r\n":    Version,
	"HTTP/1.2 200 OK\r\n":    Version,
	"\r\n" + ok:              Version,
	"hello\r\n":              Version,
	"HTTP/1.1 200 O\rK\r\n":  FieldValue,
	ok + "A: \x00\r\n":       FieldValue,
	ok + "A: b\r\n \x7f\r\n": FieldValue,
	ok + "A b: c\r\n":        FieldName,
	ok + "A : b\r\n":         FieldName,
	ok + "A\x01: b\r\n":      FieldName,
	ok + ": b\r\n":           FieldName,
	ok + "A\r\n":             FieldName,
	ok + " A: b\r\n":         FieldName,
	ok + "Content-Length: 1\r\nContent-Length: 1\r\n":             Framing,
	ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n":    Framing,
	ok + "Content-Length: -1\r\n":                                 Framing,
	ok + "Content-Length: 1\r\n 2\r\n":                            Framing,
	ok + "Transfer-Encoding: gzip, chunked\r\n":                   Framing,
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n":           Framing,
	ok + "Transfer-Encoding: chunked\r\n\r\nx\r\n":                Chunk,
	ok + "Transfer-Encoding: chunked\r\n\r\n1\n":                  Chunk,
	ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n":          Chunk,
	ok + "Transfer-Encoding: chunked\r\n\r\n1234567890123456\r\n": Chunk,
	ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA b: c\r\n":      FieldName,
	ok + "A: b\n\n":   Line,
	ok + "A: b\n\r\n": Line,
	ok + "A: " + strings.Repeat("b", maxLine) + "\r\n":               Line,
	ok + "Content-Length: 2\r\n\r\nxxHTTP/1.1 000 X\r\n":             Status,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\n\r\n": FieldName,
}

// readAll returns the bytes that a reader passes on and how they were malformed.
func readAll(src io.Reader, head bool) (*Reader, []byte, error) {
	r := NewReader(src)
	r.SetHeadRequest(head)
	passed, err := io.ReadAll(r)
	return r, passed, err
}

func TestSoundResponsesArePassedOn(t *testing.T) {
	for _, raw := range sound {
		for name, src := range map[string]io.Reader{"whole": strings.NewReader(raw), "by byte": iotest.OneByteReader(strings.NewReader(raw))} {
			if _, passed, err := readAll(src, false); err != nil || string(passed) != raw {
				t.Errorf("%s: %q, %v, want %q", name, passed, err, raw)
			}
		}
	}
}

// Guards against a malformed response that a reader takes for complete: the end of the malformed line
// does not arrive.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	for raw, rule := range broken {
		for name, src := range map[string]io.Reader{"whole": strings.NewReader(raw + "\r\n\r\n"), "by byte": iotest.OneByteReader(strings.NewReader(raw + "\r\n\r\n"))} {
			r, passed, err := readAll(src, false)
			var malformed *Error
			if !errors.As(err, &malformed) || malformed.Rule != rule || r.Malformed() != malformed {
				t.Errorf("%s: %.80q: %v, want it to break %s", name, raw, err, rule)
			}
			if !strings.HasPrefix(raw+"\r\n\r\n", string(passed)) || len(passed) > len(raw) {
				t.Errorf("%s: %.80q: %.80q is passed on", name, raw, passed)
			}
		}
	}
}

// Guards against a request on a connection with bytes that belong to none: its response would be read
// behind them.
func TestRequestIsNotWrittenBehindUnexpectedBytes(t *testing.T) {
	for name, excess := range map[string]string{"none": "", "a response": sound[0][:10], "an interim response": "HTTP/1.1 100 Continue\r\n\r\n", "an empty line": "\r\n"} {
		client, server := net.Pipe()
		c := NewConn(client)
		go func() {
			if _, err := bufio.NewReader(server).ReadString('\n'); err != nil {
				t.Error(err)
			}
			if _, err := io.WriteString(server, sound[0]+excess); err != nil {
				t.Error(err)
			}
			_, _ = io.Copy(io.Discard, server)
		}()
		if _, err := io.WriteString(c, "GET\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, len(sound[0]))); err != nil {
			t.Fatal(err)
		}
		if excess != "" {
			_, _ = c.Read(make([]byte, 100))
		}
		if _, err := io.WriteString(c, "GET\n"); (excess != "") != errors.Is(err, ErrUnexpectedBytes) {
			t.Errorf("%s: %v", name, err)
		}
		client.Close()
		server.Close()
	}
}

// maxFuzzBody limits the bodies of FuzzResponse in bytes: the library allocates what a chunk declares.
const maxFuzzBody = 1 << 20

// FuzzResponse reads arbitrary bytes. The verdict must not depend on how they arrive, and a response that
// is passed on must mean the same to the library and to the standard one, with names that are
// tokens.
func FuzzResponse(f *testing.F) {
	for _, raw := range sound {
		f.Add([]byte(raw), false)
	}
	for raw := range broken {
		f.Add([]byte(raw+"\r\n\r\n"), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, head bool) {
		r, passed, err := readAll(bytes.NewReader(raw), head)
		slow, _, _ := readAll(iotest.OneByteReader(bytes.NewReader(raw)), head)
		if (r.err == nil) != (slow.err == nil) || r.err != nil && *r.err != *slow.err {
			t.Fatalf("%v at once, %v by byte", r.err, slow.err)
		}
		if err == nil && !bytes.Equal(passed, raw) {
			t.Fatalf("%q is passed on", passed)
		}
		var resp fasthttp.Response
		resp.SkipBody = head
		if resp.ReadLimitBody(bufio.NewReader(bytes.NewReader(passed)), maxFuzzBody) != nil {
			return
		}
		for name := range resp.Header.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) {
				t.Errorf("field name %q", name)
			}
		}
		status, body, err := readStandard(passed, head)
		if err != nil || status != resp.StatusCode() || !bytes.Equal(body, resp.Body()) {
			t.Errorf("the standard library reads %d %q %v, the other one %d %q", status, body, err, resp.StatusCode(), resp.Body())
		}
	})
}

// readStandard returns the first response that is not interim, as the standard library reads it.
func readStandard(raw []byte, head bool) (status int, body []byte, err error) {
	req := &http.Request{Method: http.MethodGet}
	if head {
		req.Method = http.MethodHead
	}
	br := bufio.NewReader(bytes.NewReader(raw))
	for {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			return resp.StatusCode, body, err
		}
	}
}

// FuzzSoundHead builds responses that RFC 9112 allows: they must be passed on.
func FuzzSoundHead(f *testing.F) {
	f.Add(uint16(200), "OK", "X-A", "b", []byte("xx"))
	f.Add(uint16(599), "", "content-length", "\xff\t", []byte{})
	f.Fuzz(func(t *testing.T, status uint16, reason, name, value string, body []byte) {
		if status < 200 || status > 999 || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) || !httpguts.ValidHeaderFieldValue(reason) {
			t.Skip()
		}
		if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
			t.Skip()
		}
		raw := string(appendResponse(status, reason, name, value, body))
		if _, passed, err := readAll(strings.NewReader(raw), false); err != nil || string(passed) != raw {
			t.Errorf("%q: %v", raw, err)
		}
	})
}

// appendResponse returns a response with a length, followed by one with chunks.
func appendResponse(status uint16, reason, name, value string, body []byte) []byte {
	var b bytes.Buffer
	line := "HTTP/1.1 " + string([]byte{'0' + byte(status/100), '0' + byte(status/10%10), '0' + byte(status%10)}) + " " + reason + "\r\n" + name + ":" + value + "\r\n"
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b.WriteString(line)
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		b.Write(body)
	}
	b.WriteString("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n")
	if len(body) > 0 {
		b.WriteString(strconv.FormatInt(int64(len(body)), 16) + "\r\n")
		b.Write(body)
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n" + name + ":" + value + "\r\n\r\n")
	return b.Bytes()
}
