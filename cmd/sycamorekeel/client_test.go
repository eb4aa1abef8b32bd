package main

import (
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// Guards against a result that is taken from a malformed answer of a daemon.
func TestMalformedAnswerIsAnError(t *testing.T) {
	for name, head := range map[string]string{"status 000": "HTTP/1.1 000 Zero\r\n", "blank in a name": "HTTP/1.1 200 OK\r\nX Odd: 1\r\n"} {
		daemon, err := standin.StartRaw(head + "Content-Length: 2\r\n\r\n{}")
		if err != nil {
			t.Fatal(err)
		}
		err = call{method: "GET", url: "http://" + daemon.Address() + "/"}.do(&struct{}{})
		if err == nil || !strings.Contains(err.Error(), "malformed response") {
			t.Errorf("%s: %v, want a malformed response", name, err)
		}
		daemon.Close()
	}
}

// Guards against an answer without end, in any part, that is kept until memory runs out.
func TestEndlessAnswerIsGivenUp(t *testing.T) {
	for part, text := range standin.EndlessAnswers {
		daemon, err := standin.StartEndless(text[0], text[1])
		if err != nil {
			t.Fatal(err)
		}
		if err := (call{method: "GET", url: "http://" + daemon.Address() + "/"}).do(&struct{}{}); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: %v, want the limit of a size", part, err)
		}
		daemon.WaitEnded()
		daemon.Close()
	}
}
