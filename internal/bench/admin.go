package bench

import (
	"encoding/json"
	"net/http"

	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// siteAdmin serves the admin address of a site: it starts and ends an outage and reports the engines' state.
type siteAdmin struct {
	site  *demo.Site
	boxes []platform.BoxInfo
}

// siteReport is what the engines received and what they have reserved.
type siteReport struct {
	PrefillResults int `json:"prefill_results_held"`
	DecodeTokens   int `json:"decode_tokens_held"`
	// Prompts counts the prefills of each prompt, by its hash.
	Prompts map[uint64]int `json:"prompts"`
}

func (a *siteAdmin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/down":
		a.site.Platform.SetDown(true)
	case "/up":
		a.site.Platform.SetDown(false)
	case "/report":
		_ = json.NewEncoder(w).Encode(a.report())
	default:
		http.NotFound(w, r)
	}
}

func (a *siteAdmin) report() siteReport {
	rep := siteReport{Prompts: map[uint64]int{}}
	for _, e := range append(a.site.Prefills, a.site.Decodes...) {
		results, tokens := e.Reserved()
		rep.PrefillResults += results
		rep.DecodeTokens += tokens
		for p, n := range e.Counts().Prompts {
			rep.Prompts[p] += n
		}
	}
	return rep
}
