package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// ticketRequest is the request for a ticket for one call of a service.
type ticketRequest struct {
	Service string `json:"service"`
}

// ticketAnswer is the response with the ticket.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

func (c *call) needsTicket() bool {
	every := uint64(c.load.TicketEvery)
	return every > 0 && c.serial%every == 0 && c.ticket == "" && !c.route.Direct
}

// keyRemainder is the remainder modulo KeyEvery of the serials whose calls carry
// an idempotency key. Calls with a ticket have remainder 0 modulo TicketEvery, so
// that with the same period no call is due for both.
const keyRemainder = 1

// assignKey gives the call an idempotency key if it is due for one. The key
// contains the number of attempts, so that it is a new one after NotRun.
func (c *call) assignKey() {
	every := uint64(c.load.KeyEvery)
	if every == 0 || c.serial%every != keyRemainder%every || c.ticket != "" || c.idemKey != "" || c.route.Direct {
		return
	}
	c.idemKey = fmt.Sprintf("%s-%d", c.key, c.attempts)
}

// requestTicket gets a ticket from an entry. If that fails the outcome is NotRun,
// since nothing of the call was sent.
func (c *call) requestTicket(ctx context.Context) (result, bool) {
	resp, err := c.send(ctx, http.MethodPost, c.route.ticketURL(c.attemptIndex()), ticketRequest{Service: c.load.OnceService})
	if err != nil {
		return result{outcome: NotRun, fault: "ticket lost"}, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		res := readProblem(resp)
		res.outcome = NotRun
		res.fault = "ticket: " + res.fault
		return res, false
	}
	var a ticketAnswer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&a)
	if err != nil || a.Ticket == "" {
		return result{outcome: NotRun, status: resp.StatusCode, fault: "ticket not readable"}, false
	}
	c.ticket = a.Ticket
	return result{}, true
}
