package bench

import (
	"encoding/json"
	"net/http"

	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// siteAdmin serves the admin address of a site (stand-ins for engines and the platform). Calls to it start and end an
// outage of the platform, and read what the engines received.
type siteAdmin struct {
	site  *demo.Site
	boxes []platform.BoxInfo
}

// siteReport is what all engines of a site together have reserved and received. PrefillResults is the number of KV
// caches that wait for a decode engine; DecodeTokens is the KV memory of the running streams, in tokens.
type siteReport struct {
	PrefillResults int `json:"prefill_results_held"`
	DecodeTokens   int `json:"decode_tokens_held"`
	// Prompts is the number of prefills of each prompt, by standin.PromptHash.
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
