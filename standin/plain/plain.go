// Package plain is a stand-in for a plain service, that is a target that is not
// a model engine, such as a booking service. It counts how often the call with
// each key was executed, so that package caller can find calls that were
// executed twice. The service command of standin runs it.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/serve"
)

// maxKeys is the number of keys whose executions are counted. A call with a
// further key gets status 507.
const maxKeys = 1 << 20

// Faults are the faults that a plain service injects. Delay is added to the
// time of every call. CutBeforeRun closes the connection before the call is
// executed, CutAfterRun afterwards. Status is returned in place of executing the
// call. Times is how many calls get CutBeforeRun, CutAfterRun or Status; 0 is
// every call.
type Faults struct {
	Delay        serve.Duration `json:"delay"`
	CutBeforeRun bool           `json:"cutBeforeRun"`
	CutAfterRun  bool           `json:"cutAfterRun"`
	Status       int            `json:"status"`
	Times        int            `json:"times"`
}

// Answer describes the call that was executed. Executions is how often this
// replica has executed calls with Key.
type Answer struct {
	Service    string `json:"service"`
	Replica    string `json:"replica"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Body       string `json:"body"`
	Key        string `json:"key"`
	Executions int    `json:"executions"`
}

// Executions has the number of executions of each key at one replica.
type Executions struct {
	Executions map[string]int `json:"executions"`
}

// Service is one replica of a plain service. Set the exported fields before
// calling Handler. Delay is how long each call takes.
type Service struct {
	Name    string
	Replica string
	Delay   time.Duration
	Clock   clockwork.Clock

	mu           sync.Mutex
	faults       Faults
	faultedCalls int
	executions   map[string]int
}

// Handler returns the handler of the service's calls and of the control calls
// that read the executions and set the faults.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/control/executions", s.handleExecutions).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", s.setFaults).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.handleCall)
	return r
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxBody))
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	f := s.nextFaults()
	if serve.Sleep(r.Context(), s.Clock, s.Delay+time.Duration(f.Delay)) != nil {
		return
	}
	if f.CutBeforeRun {
		serve.AbortConnection(w)
	}
	if f.Status != 0 {
		serve.WriteProblem(w, f.Status, "fault")
		return
	}
	a, ok := s.execute(r, body)
	if !ok {
		serve.WriteProblem(w, http.StatusInsufficientStorage, "too many keys")
		return
	}
	if f.CutAfterRun {
		serve.AbortConnection(w)
	}
	serve.WriteJSON(w, http.StatusOK, a)
}

// execute counts the call's key and returns the answer, and false when there
// are too many keys. A call without a key isn't counted.
func (s *Service) execute(r *http.Request, body []byte) (Answer, bool) {
	a := Answer{
		Service: s.Name,
		Replica: s.Replica,
		Method:  r.Method,
		Path:    r.URL.Path,
		Body:    string(body),
		Key:     bodyKey(body),
	}
	if a.Key == "" {
		return a, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	if len(s.executions) >= maxKeys && s.executions[a.Key] == 0 {
		return a, false
	}
	s.executions[a.Key]++
	a.Executions = s.executions[a.Key]
	return a, true
}

// bodyKey returns the key field of a JSON body, empty when there is none.
func bodyKey(body []byte) string {
	var v struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	return v.Key
}

// nextFaults returns the faults for the next call, and counts the calls that
// get a fault limited by Times.
func (s *Service) nextFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if !f.CutBeforeRun && !f.CutAfterRun && f.Status == 0 {
		return f
	}
	s.faultedCalls++
	if f.Times > 0 && s.faultedCalls > f.Times {
		return Faults{Delay: f.Delay}
	}
	return f
}

func (s *Service) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, Executions{Executions: s.executions})
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := serve.DecodeJSON[Faults](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.faultedCalls = 0
	w.WriteHeader(http.StatusNoContent)
}
