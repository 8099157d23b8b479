package endpoint_test

import (
	"testing"

	"ryelug/io/endpoint"
)

// BenchmarkSend sends calls over one connection and reads their answers.
func BenchmarkSend(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nServer: model/1.2\r\nContent-Type: application/json\r\n" +
		"X-Request-Id: a\r\nX-Seal: 5d41402abc4b2a76b9719d911017c592\r\nX-Load: 12,3,64,130\r\nKeep-Alive: timeout=30\r\n" +
		"Cache-Control: no-store\r\nContent-Length: 16\r\n\r\n{\"answer\":\"yes\"}"
	client := endpoint.New(endpoint.Config{Dialect: verbatimDialect, Dial: pipeDialer([]string{answer})})
	call := endpoint.Call{Endpoint: "e", Start: "s", RequestID: "a", Method: "POST", Path: "/", Body: []byte("body")}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Send(b.Context(), call); err != nil {
			b.Fatal(err)
		}
	}
}
