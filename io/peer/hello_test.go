package peer

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// FuzzHello takes greetings from strangers.
func FuzzHello(f *testing.F) {
	f.Add(encodeHello(&hello{version: Version, nonce: make([]byte, nonceBytes), router: "a/1", dc: "north"}))
	f.Add([]byte(magic))
	f.Add(append([]byte(magic), 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		is := is.New(t)
		h, err := parseHello(body)
		if err != nil {
			return
		}
		back, err := parseHello(encodeHello(h))
		is.NoErr(err)
		is.True(reflect.DeepEqual(h, back))
	})
}
