package greeting

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// FuzzHello checks that parseHello survives any bytes, and that a hello that it accepts is unchanged after
// encoding and parsing.
func FuzzHello(f *testing.F) {
	f.Add(encodeHello(&Hello{version: Version, nonce: make([]byte, nonceBytes), Router: "a/1", DataCentre: "north"}))
	f.Add([]byte(magic))
	f.Add(append([]byte(magic), 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		is := is.New(t)
		h, err := parseHello(body)
		if err != nil {
			return
		}
		decoded, err := parseHello(encodeHello(h))
		is.NoErr(err)
		is.True(reflect.DeepEqual(h, decoded))
	})
}
