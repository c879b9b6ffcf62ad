//go:build review

package standins

import (
	"log"
	"net/http"

	"github.com/stoatramp/stoatramp/platform/standin"
)

// runStore serves the project's own stand-in of the platform's store. Its header for eras is left out, because the
// users' pages do not have it.
func runStore(address string) {
	store := standin.NewStore()
	log.Fatal(http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		store.ServeHTTP(&withoutEra{ResponseWriter: w}, r)
	})))
}

type withoutEra struct{ http.ResponseWriter }

func (w *withoutEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *withoutEra) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to Hijack.
func (w *withoutEra) Unwrap() http.ResponseWriter { return w.ResponseWriter }
