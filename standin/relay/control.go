package relay

import (
	"net/http"

	"github.com/gorilla/mux"

	"hawthornferry/standin/serve"
)

// ConnectionCount is the number of connections that a control call affected.
type ConnectionCount struct {
	Connections int `json:"connections"`
}

// Handler returns the handler of the routes' control calls. A route is named by
// its address To.
func Handler(routes []*Route) http.Handler {
	byTarget := map[string]*Route{}
	for _, t := range routes {
		byTarget[t.To.String()] = t
	}
	r := mux.NewRouter()
	handle := func(path string, action func(*Route, http.ResponseWriter, *http.Request)) {
		r.HandleFunc("/control/routes/{to}/"+path, func(w http.ResponseWriter, q *http.Request) {
			t, ok := byTarget[mux.Vars(q)["to"]]
			if !ok {
				serve.WriteProblem(w, http.StatusNotFound, "no such route")
				return
			}
			action(t, w, q)
		}).Methods(http.MethodPost)
	}
	handle("silence", func(t *Route, w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, ConnectionCount{Connections: t.Silence()})
	})
	handle("cut", func(t *Route, w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, ConnectionCount{Connections: t.Cut()})
	})
	handle("faults", setFaults)
	return r
}

func setFaults(t *Route, w http.ResponseWriter, r *http.Request) {
	f, err := serve.DecodeJSON[Faults](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	t.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
