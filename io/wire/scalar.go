package wire

import (
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

func (d *Decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *Decoder) arrayLen() int {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeArrayLen()
	if err != nil {
		d.fail(fmt.Errorf("%w: %w", ErrShape, err))
		return 0
	}
	if n < 0 {
		d.fail(ErrShape)
		return 0
	}
	return n
}

// decodeSlice takes memory for a list only when the bytes left can hold it.
func decodeSlice[T any](d *Decoder, one func(*Decoder) T) []T {
	n := d.arrayLen()
	if n > maxItems || n > d.src.Len() {
		d.fail(ErrTooMany)
	}
	if n == 0 || d.err != nil {
		return nil
	}
	items := make([]T, 0, n)
	for i := 0; i < n && d.err == nil; i++ {
		items = append(items, one(d))
	}
	return items
}

// decodeList reads the last list of a message, which may be one item without a length.
func decodeList[T any](d *Decoder, one func(*Decoder) T) []T {
	if !d.takeForm(formOne) {
		return decodeSlice(d, one)
	}
	return []T{one(d)}
}

func (d *Decoder) string() string { return string(d.bytes(maxName)) }

// name reads a name, or the number of one that came before.
func (d *Decoder) name() string {
	if d.err != nil {
		return ""
	}
	code, err := d.dec.PeekCode()
	if err != nil || msgpcode.IsString(code) {
		name := d.string()
		d.history.received(name)
		return name
	}
	name, ok := d.history.name(d.uint())
	if !ok {
		d.fail(ErrShape)
	}
	return name
}

func (d *Decoder) bytes(limit int) []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeBytesLen()
	if err != nil {
		d.fail(fmt.Errorf("%w: %w", ErrShape, err))
		return nil
	}
	if n > limit || n > d.src.Len() {
		d.fail(ErrTooMany)
		return nil
	}
	if n <= 0 {
		return nil
	}
	b := make([]byte, n)
	if err := d.dec.ReadFull(b); err != nil {
		d.fail(fmt.Errorf("%w: %w", ErrShape, err))
	}
	return b
}

func (d *Decoder) uint() uint64 { return decodeScalar(d, d.dec.DecodeUint64) }

func (d *Decoder) int() int64 { return decodeScalar(d, d.dec.DecodeInt64) }

func (d *Decoder) bool() bool { return decodeScalar(d, d.dec.DecodeBool) }

func (d *Decoder) uint16() uint16 { return uint16(d.atMost(math.MaxUint16)) }

func (d *Decoder) uint32() uint32 { return uint32(d.atMost(math.MaxUint32)) }

func (d *Decoder) uint8() uint8 { return uint8(d.atMost(math.MaxUint8)) }

func (d *Decoder) atMost(limit uint64) uint64 {
	n := d.uint()
	if n > limit {
		d.fail(ErrShape)
		return 0
	}
	return n
}

func decodeScalar[T any](d *Decoder, read func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := read()
	if err != nil {
		d.fail(fmt.Errorf("%w: %w", ErrShape, err))
		return zero
	}
	return v
}
