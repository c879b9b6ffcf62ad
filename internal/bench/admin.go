package bench

import (
	"encoding/json"
	"net/http"

	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// siteAdmin tells the stand-ins to fail and what they saw.
type siteAdmin struct {
	site  *demo.Site
	boxes []platform.BoxInfo
}

// siteReport is what the engines saw and hold.
type siteReport struct {
	Results int `json:"prefill_results_held"`
	Tokens  int `json:"decode_tokens_held"`
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
		results, tokens := e.Held()
		rep.Results += results
		rep.Tokens += tokens
		for p, n := range e.Seen().Prompts {
			rep.Prompts[p] += n
		}
	}
	return rep
}
