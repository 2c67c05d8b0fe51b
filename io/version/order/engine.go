// Package order makes a target load the version that the document names, when
// the replicas of its zone permit it.
package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
)

// Bounds of one exchange with an engine.
const (
	engineTimeout = 2 * time.Second
	maxStateBytes = 64 << 10
)

// ErrOldNumber is returned when an engine refuses an order for its number.
var ErrOldNumber = errors.New("engine has taken a later order")

// Engine is the control interface of one engine.
type Engine struct {
	Address netip.AddrPort
	Client  *http.Client
}

// state is the engine's answer; see docs/PLATFORM.md.
type state struct {
	Boot      string       `json:"boot"`
	Manifest  chunk.Digest `json:"manifest"`
	Loading   chunk.Digest `json:"loading"`
	LastOrder uint64       `json:"lastOrder"`
}

// load is the order to load a version.
type load struct {
	Number   uint64         `json:"number"`
	Action   string         `json:"action"`
	Manifest chunk.Digest   `json:"manifest"`
	Body     chunk.Manifest `json:"body"`
}

const actionLoad = "load"

// State asks the engine what it serves.
func (e *Engine) State(ctx context.Context) (roll.Target, error) {
	body, err := e.do(ctx, http.MethodGet, "/v1/state", nil, http.StatusOK)
	if err != nil {
		return roll.Target{}, fault.At("read engine state", e.Address.String(), err)
	}
	var s state
	if err := json.Unmarshal(body, &s); err != nil {
		return roll.Target{}, fault.At("decode engine state", e.Address.String(), err)
	}
	return roll.Target{Boot: s.Boot, Serving: s.Manifest, Loading: s.Loading, LastOrder: s.LastOrder}, nil
}

// Load orders the engine to load m, pinned by digest, under number. The load
// goes on after the engine has accepted it.
func (e *Engine) Load(ctx context.Context, number uint64, digest chunk.Digest, m chunk.Manifest) error {
	b, err := json.Marshal(load{Number: number, Action: actionLoad, Manifest: digest, Body: m})
	if err != nil {
		return fault.At("encode order", e.Address.String(), err)
	}
	_, err = e.do(ctx, http.MethodPost, "/v1/orders", b, http.StatusAccepted)
	return fault.At("order load", e.Address.String(), err)
}

func (e *Engine) do(ctx context.Context, method, path string, body []byte, want int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusConflict {
		return nil, ErrOldNumber
	}
	if resp.StatusCode != want {
		return nil, errors.Newf("status %d, want %d", resp.StatusCode, want)
	}
	return b, nil
}
