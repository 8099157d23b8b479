package stamped

import (
	"encoding/binary"
	"errors"
	"time"
)

// ErrStamp is a frame whose stamps are impossible.
var ErrStamp = errors.New("frame has an impossible stamp")

// stampUnit is the unit of stamps, so coarse that their growth between two heartbeats needs four bits.
const stampUnit = 20 * time.Millisecond

// clock counts stamps: whole units since the greeting. A stamp is never later than its time.
type clock struct{ start time.Time }

func (c clock) stamp() uint64 { return uint64(time.Since(c.start) / stampUnit) }

func (c clock) at(stamp uint64) time.Time {
	return c.start.Add(time.Duration(stamp) * stampUnit)
}

// The growths of the stamp and the echo share a byte; one that does not fit follows as a varint.
const (
	growthBits    = 4
	growthFollows = 1<<growthBits - 1
)

func appendGrowths(dst []byte, stamp, echo uint64) []byte {
	dst = append(dst, byte(min(stamp, growthFollows)<<growthBits|min(echo, growthFollows)))
	for _, grown := range []uint64{stamp, echo} {
		if grown >= growthFollows {
			dst = binary.AppendUvarint(dst, grown)
		}
	}
	return dst
}

// growth returns a growth, which follows in src if it did not fit.
func growth(short uint64, src []byte) (grown uint64, rest []byte, ok bool) {
	if short < growthFollows {
		return short, src, true
	}
	grown, n := binary.Uvarint(src)
	if n <= 0 {
		return 0, nil, false
	}
	return grown, src[n:], true
}
