package cmds

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/process/admin"
)

func init() {
	register(command{
		name: "status",
		help: "shows the rollouts, outcomes and drift that processes report on their administration API",
		make: func() runner { return &statusCommand{} },
	})
}

// statusCommand prints the status of processes.
type statusCommand struct {
	Addresses []netip.AddrPort `key:"addresses" arg:"1" need:"true" help:"administration addresses of entries or sides, parted by commas"`
	JSON      bool             `key:"json" help:"print JSON"`
	Timeout   time.Duration    `key:"timeout" default:"5s" min:"100ms" max:"1m" help:"most time for one process to answer"`
}

// run prints the statuses that it could read. For each process that does not answer
// it prints the error; the command then fails after printing the others.
func (s *statusCommand) run(ctx context.Context, out output) error {
	var all []admin.Status
	var failed error
	for _, addr := range s.Addresses {
		limited, cancel := context.WithTimeout(ctx, s.Timeout)
		one, err := admin.Fetch(limited, addr)
		cancel()
		if err != nil {
			fmt.Fprintln(out.stderr, err)
			failed = errors.New("some processes did not answer")
			continue
		}
		all = append(all, one)
	}
	if s.JSON {
		return errors.CombineErrors(printJSON(out.stdout, all), failed)
	}
	return errors.CombineErrors(printStatus(out.stdout, all), failed)
}

func printStatus(w io.Writer, all []admin.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printProcesses(t, all)
	printRollouts(t, all)
	printTargets(t, all)
	printOutcomes(t, all)
	printDrift(t, all)
	printTables(t, all)
	printTraffic(t, all)
	return operr.Wrap("print status", "", t.Flush())
}

func printProcesses(w io.Writer, all []admin.Status) {
	fmt.Fprintln(w, "PROCESS\tROLE\tZONE\tREADY\tENVIRONMENT\tREVISION\tREADER\tPEERS\tVMS\tNOTE")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%d\t%t\t%d\t%d\t%s\n", s.Process.Name, s.Process.Role, s.Process.Zone,
			s.Process.Ready, s.Config.Environment, s.Config.Revision, s.Config.Reader, s.Config.Peers, s.Config.VMs, operatorNote(s))
	}
}

// operatorNote returns the problem of a process that an operator should look at
// first, or "".
func operatorNote(s admin.Status) string {
	c := s.Config
	switch {
	case c.ConflictRevision > 0:
		return fmt.Sprintf("revision %d stands for two documents: promote again", c.ConflictRevision)
	case c.RefusedRevision > c.Revision:
		return fmt.Sprintf("revision %d refused: %.120s", c.RefusedRevision, c.RefusalReason)
	case c.FaultCount > 0:
		return faultNote(c.Faults, c.FaultCount)
	case c.SettingsFault != "":
		return fmt.Sprintf("settings file not used: %.120s", c.SettingsFault)
	}
	return s.Process.NotReadyReason
}

// faultNote describes the first of the faults of the platform's state.
func faultNote(faults []trail.ItemFault, total int) string {
	if len(faults) == 0 {
		return fmt.Sprintf("%d faults in the store", total)
	}
	first, effect := faults[0], "unreadable in part"
	if first.Rejected {
		effect = "rejected"
	}
	return fmt.Sprintf("%s %s (fault 1 of %d): %.120s", first.Key, effect, total, first.Reason)
}

// rolloutRow is the progress of a version in a zone, as seen by the process that has
// seen the most progress.
type rolloutRow struct {
	service, version, zone string
	admin.Progress
}

func printRollouts(w io.Writer, all []admin.Status) {
	rows := map[string]rolloutRow{}
	for _, s := range all {
		for _, r := range s.Rollouts {
			for _, z := range r.Zones {
				key := r.Service + "/" + z.Zone
				if old, ok := rows[key]; !ok || z.Serving > old.Serving || z.ChunksHeld > old.ChunksHeld {
					rows[key] = rolloutRow{service: r.Service, version: r.Version, zone: z.Zone, Progress: z}
				}
			}
		}
	}
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(w, "\nROLLOUT\tVERSION\tZONE\tSERVING\tSTAGED\tCHUNKS")
	for _, key := range sortedKeys(rows) {
		r := rows[key]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\n", r.service, r.version, r.zone,
			r.Serving, r.Wanted, r.Staged, r.Wanted, r.ChunksHeld, r.ChunksTotal)
	}
}

func printTargets(w io.Writer, all []admin.Status) {
	first := true
	for _, s := range all {
		for _, t := range s.Targets {
			if first {
				fmt.Fprintln(w, "\nTARGET\tSEEN BY\tSERVICE\tZONE\tSTATE\tSERVING\tIN FLIGHT\tQUEUED\tREASON")
				first = false
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.19s\t%d\t%d\t%s\n", t.Name, s.Process.Name, t.Service, t.Zone,
				t.State, t.Serving, t.InFlight, t.Queued, t.Reason)
		}
	}
}

// printOutcomes prints the outcomes of all processes, summed by customer and
// service.
func printOutcomes(w io.Writer, all []admin.Status) {
	sums := map[string]admin.Outcome{}
	for _, s := range all {
		for _, o := range s.Outcomes {
			key := o.Customer + "/" + o.Service
			sums[key] = addOutcome(sums[key], o)
		}
	}
	if len(sums) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCUSTOMER\tSERVICE\tDONE\tNOT RUN\tUNKNOWN\tREPEATED\tREFUSED")
	for _, key := range sortedKeys(sums) {
		o := sums[key]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", o.Customer, o.Service, o.Done, o.NotRun, o.Unknown, o.Repeated, o.Refused)
	}
}

func addOutcome(a, b admin.Outcome) admin.Outcome {
	b.Done += a.Done
	b.NotRun += a.NotRun
	b.Unknown += a.Unknown
	b.Repeated += a.Repeated
	b.Refused += a.Refused
	return b
}

func printDrift(w io.Writer, all []admin.Status) {
	first := true
	for _, s := range all {
		for _, d := range s.Drift {
			if first {
				fmt.Fprintln(w, "\nDRIFT\tSEEN BY\tWINDOW\tNOW\tBEFORE\tUNIT\tTREND\tVERDICT")
				first = false
			}
			window := time.Duration(d.WindowMs) * time.Millisecond
			verdict := "steady"
			if d.Declined {
				verdict = "declined"
			}
			fmt.Fprintf(w, "%s\t%s\t%v\t%.3g\t%.3g\t%s\t%.2f\t%s\n",
				d.Name, s.Process.Name, window, d.Value, d.Previous, d.Unit, d.Trend, verdict)
		}
	}
}

func printTables(w io.Writer, all []admin.Status) {
	tables := func(s admin.Status) []admin.Table { return s.Tables }
	printRows(w, all, "TABLE\tOF\tENTRIES\tBOUND", tables, func(of string, t admin.Table) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", t.Name, of, t.Entries, t.Bound)
	})
}

func printTraffic(w io.Writer, all []admin.Status) {
	traffic := func(s admin.Status) []admin.Traffic { return s.Traffic }
	printRows(w, all, "TRAFFIC\tOF\tRECEIVED\tSENT", traffic, func(of string, t admin.Traffic) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", t.Purpose, of, t.Received, t.Sent)
	})
}

// printRows prints the rows of all processes under one heading, or nothing if there
// are none. It passes write the name of the process in of.
func printRows[T any](w io.Writer, all []admin.Status, heading string, rows func(admin.Status) []T, write func(of string, row T)) {
	first := true
	for _, s := range all {
		for _, r := range rows(s) {
			if first {
				fmt.Fprintln(w, "\n"+heading)
				first = false
			}
			write(s.Process.Name, r)
		}
	}
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}
