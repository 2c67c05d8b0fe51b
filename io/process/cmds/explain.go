package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/audit"
	"hawthornferry/core/process/trail"
)

func init() {
	register(command{
		name: "explain",
		help: "shows from decision logs what became of a request, and what was believed meanwhile",
		make: func() runner { return &explainCommand{} },
	})
}

// explainCommand prints the records of decision logs that explain a request's
// outcome.
type explainCommand struct {
	Request string `key:"request" arg:"1" need:"true" help:"the request's id"`
	Logs    string `key:"logs" arg:"2" need:"true" help:"a log of JSON lines, or a directory of them"`
}

func (e *explainCommand) run(_ context.Context, out output) error {
	names, err := logNames(e.Logs)
	if err != nil {
		return err
	}
	var records []trail.Decision
	for _, name := range names {
		log, err := readLog(name)
		if err != nil {
			return err
		}
		records = append(records, log.Decisions...)
	}
	lines := audit.Explain(records, e.Request)
	if len(lines) == 0 {
		return errors.Mark(errors.Newf("no record of request %q in %d logs: its process ended while it was in progress, or its lines were left out", e.Request, len(names)), errInput)
	}
	w := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		mark := ""
		if l.Background {
			mark = "believed"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Decision.Time.Format(time.RFC3339Nano), l.Decision.Process, mark, formatDecision(l.Decision))
	}
	return w.Flush()
}

// formatDecision formats the fields of a record that are not empty.
func formatDecision(d trail.Decision) string {
	var parts []string
	add := func(name string, v any, set bool) {
		if set {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	parts = append(parts, string(d.Area)+"/"+d.Action)
	add("customer", d.Customer, d.Customer != "")
	add("service", d.Service, d.Service != "")
	add("subject", d.Subject, d.Subject != "")
	add("choice", d.Choice, d.Choice != "")
	add("outcome", d.Outcome, d.Outcome != "")
	add("reason", d.Reason, d.Reason != "")
	add("cause", d.Cause, d.Cause != "")
	add("status", d.Status, d.Status != 0)
	add("load", d.Load, d.Load != 0)
	add("version", d.Version, d.Version != 0)
	add("demanded", d.MinVersion, d.MinVersion != 0)
	add("rateLimit", d.RateLimit, d.RateLimit != 0)
	add("attempts", d.Attempts, d.Attempts != 0)
	add("fingerprint", d.Fingerprint, d.Fingerprint != "")
	add("lastEvent", d.LastEvent, d.LastEvent != "")
	add("askedMs", d.SinceFirstRequestMS, d.SinceFirstRequestMS != 0)
	add("waitedMs", d.WaitedMS, d.WaitedMS != 0)
	add("objectiveMs", d.ObjectiveMS, d.ObjectiveMS != 0)
	add("expectedMs", d.ExpectedMS, d.ExpectedMS != 0)
	add("firstMs", d.FirstEventMS, d.FirstEventMS != 0)
	add("tookMs", d.TookMS, d.TookMS != 0)
	add("ageMs", d.AgeMS, d.AgeMS != 0)
	add("revision", d.Revision, d.Revision != 0)
	if d.RetryBudget != nil {
		parts = append(parts, "retryBudget="+compactJSON(d.RetryBudget))
	}
	if d.Level != nil {
		parts = append(parts, "admission="+compactJSON(d.Level))
	}
	if d.Candidates != nil {
		parts = append(parts, "candidates="+compactJSON(d.Candidates))
	}
	if d.Fetches != nil {
		parts = append(parts, "fetches="+compactJSON(d.Fetches))
	}
	if d.State != nil {
		parts = append(parts, compactJSON(d.State))
	}
	return strings.Join(parts, " ")
}

// compactJSON formats a nested record as JSON without quotes.
func compactJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		// Not reached: the records contain only types that json can encode.
		return err.Error()
	}
	return strings.ReplaceAll(string(b), `"`, "")
}
