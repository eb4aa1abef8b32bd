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

func TestOperatorAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator API")
}

const operatorToken = "operators-token"

type backend struct{ notReady string }

func (b *backend) Status() operatorapi.Status {
	return operatorapi.Status{VM: "vm-1", Incarnation: 7, Ready: b.notReady == "", NotReady: b.notReady, Revision: 12}
}

func (b *backend) NotReady() string { return b.notReady }

// startServer starts a server that has one recorded request, ID "known", and
// returns its address.
func startServer(b *backend, token string) string {
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

// raw sends request unchanged and reads one response.
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

const validAuthorization = "Bearer " + operatorToken

// Guards against a path without its token check, which exposes the fleet's status,
// and against a response without its reason, which hides whether a running daemon is
// ready. Each entry is a valid request or has one defect.
var _ = DescribeTable("the operator interface",
	func(request string, notReady string, status int, contains string) {
		got, body := raw(startServer(&backend{notReady: notReady}, operatorToken), request)
		Expect(got).To(Equal(status), body)
		Expect(body).To(ContainSubstring(contains))
		Expect(body).NotTo(ContainSubstring(operatorToken))
	},
	Entry("health without a token", get("/healthz", ""), "", 200, `"up"`),
	Entry("health while not ready", get("/healthz", ""), "no configuration", 200, `"up"`),
	Entry("ready", get("/readyz", ""), "", 200, `"ready"`),
	Entry("not ready, with the reason", get("/readyz", ""), "no configuration", 503, "no configuration"),
	Entry("status", get("/v1/status", validAuthorization), "", 200, `"config_revision":12`),
	Entry("status while not ready", get("/v1/status", validAuthorization), "no configuration", 200, `"not_ready":"no configuration"`),
	Entry("status without a token", get("/v1/status", ""), "", 401, "token"),
	Entry("status with a wrong token", get("/v1/status", "Bearer operators-tokem"), "", 401, "token"),
	Entry("status with a longer token", get("/v1/status", validAuthorization+"x"), "", 401, "token"),
	Entry("status with an empty token", get("/v1/status", "Bearer "), "", 401, "token"),
	Entry("status with another scheme", get("/v1/status", "Basic "+operatorToken), "", 401, "token"),
	Entry("metrics", get("/metrics", validAuthorization), "", 200, "sycamorekeel_contract_rows_total 0"),
	Entry("metrics without a token", get("/metrics", ""), "", 401, "token"),
	Entry("explain", get("/v1/explain/known", validAuthorization), "", 200, `"customer":"office"`),
	Entry("explain of an unknown request", get("/v1/explain/unknown", validAuthorization), "", 404, "unknown"),
	Entry("explain without an ID", get("/v1/explain/", validAuthorization), "", 404, "error"),
	Entry("explain without a token", get("/v1/explain/known", ""), "", 401, "token"),
	Entry("an unknown path", get("/v2/status", validAuthorization), "", 404, "no such path"),
	Entry("an unknown path without a token", get("/v2/status", ""), "", 401, "token"),
	Entry("headers too long", get("/healthz", strings.Repeat("x", 1<<16)), "", 431, ""),
	Entry("not HTTP", "hello\r\n\r\n", "", 400, ""),
)

var _ = Describe("the operator interface without a token in the settings", func() {
	It("requires no token", func() {
		status, body := raw(startServer(&backend{}, ""), get("/v1/status", ""))
		Expect(status).To(Equal(200))
		var s operatorapi.Status
		Expect(json.Unmarshal([]byte(body), &s)).To(Succeed())
		Expect(fmt.Sprint(s.VM, s.Incarnation)).To(Equal("vm-17"))
	})
})
