package control

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// claimKeySize is the length of a hashed idempotency key in bytes.
const claimKeySize = 16

type claimKeyHash [claimKeySize]byte

func hashClaimKey(key string) claimKeyHash {
	sum := sha256.Sum256([]byte(key))
	return claimKeyHash(sum[:claimKeySize])
}

// claim gives one attempt the exclusive right to run the request with an
// idempotency key.
type claim struct {
	digest      []byte
	attempt     string
	server      string
	incarnation uint64
	expiresMS   int64
}

// claimTable holds claims at least until they expire. A full table accepts no
// new claims.
type claimTable struct {
	claims map[claimKeyHash]*claim
	order  []claimKeyHash // in the order in which they were claimed
}

func newClaimTable() *claimTable { return &claimTable{claims: map[claimKeyHash]*claim{}} }

// dropExpired removes expired claims from the front of order. With a constant
// retention this is the order of expiry; after the retention was changed, a
// claim may be kept longer than required.
func (t *claimTable) dropExpired(nowMS int64) {
	for len(t.order) > 0 {
		oldest := t.claims[t.order[0]]
		if oldest.expiresMS > nowMS {
			return
		}
		delete(t.claims, t.order[0])
		t.order = t.order[1:]
	}
}

// claimKey grants the key to the first attempt that claims it. A repeated claim
// by the same attempt gets the same response.
func (s *State) claimKey(c *api.ClaimKey) *api.CommandResult {
	s.claims.dropExpired(s.nowMS)
	key := hashClaimKey(c.Request.Key)
	held := s.claims.claims[key]
	if held == nil {
		if len(s.claims.claims) >= int(c.Limit) {
			return refusal(fault.New(fault.Overloaded, "the memory of idempotency keys is full"))
		}
		held = s.claims.add(key, c, s.nowMS)
	}
	return &api.CommandResult{
		Revision: s.directory().Revision(),
		Claim:    s.claimResponse(held, c.Request),
	}
}

func (t *claimTable) add(key claimKeyHash, c *api.ClaimKey, nowMS int64) *claim {
	held := &claim{
		digest:      c.Request.Digest,
		attempt:     c.Request.Attempt,
		server:      c.Request.Server,
		incarnation: c.Request.Incarnation,
		expiresMS:   nowMS + c.RetentionMs,
	}
	t.claims[key] = held
	t.order = append(t.order, key)
	return held
}

func (s *State) claimResponse(held *claim, request *api.ClaimRequest) *api.ClaimResponse {
	response := &api.ClaimResponse{
		Attempt:       held.attempt,
		Server:        held.server,
		Incarnation:   held.incarnation,
		DigestDiffers: !bytes.Equal(held.digest, request.Digest),
	}
	response.Granted = !response.DigestDiffers && held.attempt == request.Attempt &&
		held.server == request.Server && held.incarnation == request.Incarnation
	if server := s.directory().Server(held.server); server != nil && server.Incarnation == held.incarnation {
		response.AgentAddress = server.AgentAddress
	}
	return response
}

func (t *claimTable) encode() []*api.ClaimRecord {
	records := make([]*api.ClaimRecord, 0, len(t.order))
	for _, key := range t.order {
		c := t.claims[key]
		records = append(records, &api.ClaimRecord{
			Key:         slices.Clone(key[:]),
			Digest:      c.digest,
			Attempt:     c.attempt,
			Server:      c.server,
			Incarnation: c.incarnation,
			ExpiresMs:   c.expiresMS,
		})
	}
	return records
}

func decodeClaims(records []*api.ClaimRecord) (*claimTable, error) {
	t := newClaimTable()
	for _, r := range records {
		if len(r.Key) != claimKeySize {
			return nil, fault.New(fault.DataCorrupt, "claim with a damaged key")
		}
		key := claimKeyHash(r.Key)
		t.claims[key] = &claim{r.Digest, r.Attempt, r.Server, r.Incarnation, r.ExpiresMs}
		t.order = append(t.order, key)
	}
	return t, nil
}
