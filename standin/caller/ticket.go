package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// ticketRequest asks for a ticket for one call of a service.
type ticketRequest struct {
	Service string `json:"service"`
}

// ticketAnswer carries the ticket.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

func (c *call) needsTicket() bool {
	every := uint64(c.load.TicketEvery)
	return every > 0 && c.serial%every == 0 && c.ticket == "" && !c.route.Direct
}

// keyRemainder is the remainder of the calls that carry a key, so that with the
// same period for both a call carries a ticket or a key and not both.
const keyRemainder = 1

// assignKey gives the call an idempotency key of its own if it is its turn.
// After a "not run" the attempts count makes it a new one.
func (c *call) assignKey() {
	every := uint64(c.load.KeyEvery)
	if every == 0 || c.serial%every != keyRemainder%every || c.ticket != "" || c.idemKey != "" || c.route.Direct {
		return
	}
	c.idemKey = fmt.Sprintf("%s-%d", c.key, c.attempts)
}

// requestTicket takes a ticket. Without one the call has not run: nothing of it
// was sent.
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
