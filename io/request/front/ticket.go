package front

import "net/http"

func (f *Front) issueTicket(w http.ResponseWriter, r *http.Request) { f.notFound(w, r) }
func (f *Front) askTicket(w http.ResponseWriter, r *http.Request)   { f.notFound(w, r) }
