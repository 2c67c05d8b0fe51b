package relay

import (
	"net/http"

	"github.com/gorilla/mux"

	"hawthornferry/standin/serve"
)

// Count is how many connections a control call met.
type Count struct {
	Connections int `json:"connections"`
}

// Handler is the control of the routes, each named by the address to which
// it leads.
func Handler(routes []*Route) http.Handler {
	byTo := map[string]*Route{}
	for _, t := range routes {
		byTo[t.To.String()] = t
	}
	r := mux.NewRouter()
	on := func(path string, do func(*Route, http.ResponseWriter, *http.Request)) {
		r.HandleFunc("/control/routes/{to}/"+path, func(w http.ResponseWriter, q *http.Request) {
			t, ok := byTo[mux.Vars(q)["to"]]
			if !ok {
				serve.Fail(w, http.StatusNotFound, "no such route")
				return
			}
			do(t, w, q)
		}).Methods(http.MethodPost)
	}
	on("silence", func(t *Route, w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, Count{Connections: t.Silence()})
	})
	on("cut", func(t *Route, w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, Count{Connections: t.Cut()})
	})
	on("faults", setFaults)
	return r
}

func setFaults(t *Route, w http.ResponseWriter, r *http.Request) {
	f, err := serve.Read[Faults](w, r)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	t.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
