package fleet

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"amaranthpaddle/api"
)

// DigestSize is the length of a directory digest in bytes.
const DigestSize = 16

// digest is the sum of the hashes of all items, so that a changed item costs one
// subtraction and one addition. It detects divergence, not tampering.
type digest struct{ low, high uint64 }

func (d digest) plus(o digest) digest  { return digest{d.low + o.low, d.high + o.high} }
func (d digest) minus(o digest) digest { return digest{d.low - o.low, d.high - o.high} }

func (d digest) bytes() []byte {
	out := make([]byte, 0, DigestSize)
	out = binary.BigEndian.AppendUint64(out, d.low)
	return binary.BigEndian.AppendUint64(out, d.high)
}

// itemEncoder encodes the fields of one item. Strings are length-prefixed, which
// makes the encoding unambiguous.
type itemEncoder struct{ buf []byte }

func (e *itemEncoder) str(s string) {
	e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(len(s)))
	e.buf = append(e.buf, s...)
}

func (e *itemEncoder) num(n uint64) { e.buf = binary.BigEndian.AppendUint64(e.buf, n) }

func (e *itemEncoder) float(f float64) { e.num(math.Float64bits(f)) }

func (e *itemEncoder) flag(b bool) {
	if b {
		e.num(1)
		return
	}
	e.num(0)
}

func (e *itemEncoder) sum() digest {
	low := xxhash.Sum64(e.buf)
	e.num(low)
	return digest{low, xxhash.Sum64(e.buf)}
}

func zoneDigest(z *api.Zone) digest {
	e := itemEncoder{}
	e.str("zone")
	e.str(z.Name)
	e.str(z.Region)
	e.flag(z.InService)
	return e.sum()
}

func serviceDigest(s *api.ServicePolicy) digest {
	e := itemEncoder{}
	e.str("service")
	e.str(s.Name)
	e.float(s.ObjectiveMs)
	e.float(s.ObjectiveFraction)
	e.float(s.LatencyWeight)
	return e.sum()
}

func serverDigest(s *api.BackendServer) digest {
	e := itemEncoder{}
	e.str("server")
	e.str(s.Id)
	e.str(s.Service)
	e.str(s.Vm)
	e.str(s.Zone)
	e.str(s.Region)
	e.str(s.AgentAddress)
	e.num(s.Incarnation)
	e.num(uint64(s.Slots))
	e.num(uint64(s.Connections))
	e.flag(s.Leaving)
	return e.sum()
}

func planDigest(number uint64) digest {
	e := itemEncoder{}
	e.str("plan")
	e.num(number)
	return e.sum()
}
