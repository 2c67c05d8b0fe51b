// Package order makes a target load the version that the configuration document names,
// when the other replicas of its zone permit it. The side, the process beside one
// target, runs a Controller; io/process/side and io/process/hosted build it.
// core/version/roll makes the decisions, and this package reads the facts, asks the
// other replicas and gives the orders.
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

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
)

// Limits of one request to an engine.
const (
	engineTimeout  = 2 * time.Second
	maxAnswerBytes = 64 << 10
)

// errStaleOrder is returned when an engine refuses an order because of its number.
var errStaleOrder = errors.New("engine has already accepted an order with this number or a higher one")

// EngineClient is a client of the control interface of one engine.
type EngineClient struct {
	Address netip.AddrPort
	Client  *http.Client
}

// engineState is the state that an engine reports; see docs/PLATFORM.md.
type engineState struct {
	Boot      string       `json:"boot"`
	Manifest  chunk.Digest `json:"manifest"`
	Loading   chunk.Digest `json:"loading"`
	LastOrder uint64       `json:"lastOrder"`
}

// loadOrder orders an engine to load a version.
type loadOrder struct {
	Number   uint64         `json:"number"`
	Action   string         `json:"action"`
	Manifest chunk.Digest   `json:"manifest"`
	Body     chunk.Manifest `json:"body"`
}

// actionLoad is the Action of a loadOrder.
const actionLoad = "load"

// State returns what the engine serves and loads.
func (e *EngineClient) State(ctx context.Context) (roll.Target, error) {
	body, err := e.call(ctx, http.MethodGet, "/v1/state", nil, http.StatusOK)
	if err != nil {
		return roll.Target{}, operr.Wrap("read engine state", e.Address.String(), err)
	}
	var s engineState
	if err := json.Unmarshal(body, &s); err != nil {
		return roll.Target{}, operr.Wrap("decode engine state", e.Address.String(), err)
	}
	return roll.Target{Boot: s.Boot, Serving: s.Manifest, Loading: s.Loading, LastOrder: s.LastOrder}, nil
}

// Load orders the engine to load the version with manifest m, whose digest is digest,
// under number. It returns once the engine has accepted the order; the load itself goes
// on.
func (e *EngineClient) Load(ctx context.Context, number uint64, digest chunk.Digest, m chunk.Manifest) error {
	b, err := json.Marshal(loadOrder{Number: number, Action: actionLoad, Manifest: digest, Body: m})
	if err != nil {
		return operr.Wrap("encode order", e.Address.String(), err)
	}
	_, err = e.call(ctx, http.MethodPost, "/v1/orders", b, http.StatusAccepted)
	return operr.Wrap("order load", e.Address.String(), err)
}

// call sends one request to the engine and returns the body of a response with status
// want.
func (e *EngineClient) call(ctx context.Context, method, path string, body []byte, want int) ([]byte, error) {
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusConflict {
		return nil, errStaleOrder
	}
	if resp.StatusCode != want {
		return nil, errors.Newf("status %d, want %d", resp.StatusCode, want)
	}
	return b, nil
}
