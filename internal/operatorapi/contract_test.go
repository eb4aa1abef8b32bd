package operatorapi_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator interface")
}

const operatorToken = "operators-token"

type backend struct{ notReady string }

func (b *backend) Status() operatorapi.Status {
	return operatorapi.Status{VM: "vm-1", Incarnation: 7, Ready: b.notReady == "", NotReady: b.notReady, Revision: 12}
}

func (b *backend) NotReady() string { return b.notReady }

// startOperator serves one recorded request, id "known".
func startOperator(b *backend, token string) string {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_contract_rows_total", Help: "Rows."}))
	ring := explain.NewRing(2)
	ring.Add(&explain.Record{RequestID: "known", Customer: "office", Outcome: "answered"})
	opts := operatorapi.Options{Log: zap.NewNop(), Gatherer: registry, Backend: b, Explain: ring}
	if token != "" {
		sum := sha256.Sum256([]byte(token))
		opts.TokenSHA256 = hex.EncodeToString(sum[:])
	}
	s := operatorapi.New(opts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	DeferCleanup(func() {
		Expect(s.Shutdown(context.Background())).To(Succeed())
		Expect(<-done).To(Succeed())
	})
	return ln.Addr().String()
}

// raw sends bytes and reads one answer.
func raw(address, request string) (status int, body string) {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	return resp.StatusCode, string(b)
}

func get(path, authorization string) string {
	head := "GET " + path + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n"
	if authorization != "" {
		head += "Authorization: " + authorization + "\r\n"
	}
	return head + "\r\n"
}

const right = "Bearer " + operatorToken

// Symptom: an outsider reads the fleet's status, or an operator cannot tell a
// daemon that is up from one that may serve.
// Sequence: a request with one thing wrong.
// Cause: a path without its check, or an answer without its reason.
var _ = DescribeTable("the operator interface",
	func(request string, notReady string, status int, contains string) {
		got, body := raw(startOperator(&backend{notReady: notReady}, operatorToken), request)
		Expect(got).To(Equal(status), body)
		Expect(body).To(ContainSubstring(contains))
		Expect(body).NotTo(ContainSubstring(operatorToken))
	},
	Entry("health without a token", get("/healthz", ""), "", 200, `"up"`),
	Entry("health while not ready", get("/healthz", ""), "no configuration", 200, `"up"`),
	Entry("ready", get("/readyz", ""), "", 200, `"ready"`),
	Entry("not ready says why", get("/readyz", ""), "no configuration", 503, "no configuration"),
	Entry("status", get("/v1/status", right), "", 200, `"config_revision":12`),
	Entry("status while not ready", get("/v1/status", right), "no configuration", 200, `"not_ready":"no configuration"`),
	Entry("status without a token", get("/v1/status", ""), "", 401, "token"),
	Entry("status with a wrong token", get("/v1/status", "Bearer operators-tokem"), "", 401, "token"),
	Entry("status with a longer token", get("/v1/status", right+"x"), "", 401, "token"),
	Entry("status with an empty token", get("/v1/status", "Bearer "), "", 401, "token"),
	Entry("status with another scheme", get("/v1/status", "Basic "+operatorToken), "", 401, "token"),
	Entry("metrics", get("/metrics", right), "", 200, "sycamorekeel_contract_rows_total 0"),
	Entry("metrics without a token", get("/metrics", ""), "", 401, "token"),
	Entry("explain", get("/v1/explain/known", right), "", 200, `"customer":"office"`),
	Entry("explain of an unknown request", get("/v1/explain/unknown", right), "", 404, "unknown"),
	Entry("explain of nothing", get("/v1/explain/", right), "", 404, "error"),
	Entry("explain without a token", get("/v1/explain/known", ""), "", 401, "token"),
	Entry("a path that is none", get("/v2/status", right), "", 404, "no such path"),
	Entry("a path that is none, without a token", get("/v2/status", ""), "", 401, "token"),
	Entry("headers too long", get("/healthz", strings.Repeat("x", 1<<16)), "", 431, ""),
	Entry("not HTTP", "hello\r\n\r\n", "", 400, ""),
)

var _ = Describe("without a token in the settings", func() {
	It("is open", func() {
		status, body := raw(startOperator(&backend{}, ""), get("/v1/status", ""))
		Expect(status).To(Equal(200))
		var s operatorapi.Status
		Expect(json.Unmarshal([]byte(body), &s)).To(Succeed())
		Expect(fmt.Sprint(s.VM, s.Incarnation)).To(Equal("vm-17"))
	})
})
