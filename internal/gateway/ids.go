package gateway

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// idSource generates request ids such as "box1-sx2k9f-7pdw0-42". The parts are the name of the box, the start time of
// its process, the minute and a counter. The id alone tells where and when the request's record was written. So the
// record can be found without an index.
type idSource struct {
	prefix string
	n      atomic.Uint64
}

func newIDSource(box string, start time.Time) *idSource {
	return &idSource{prefix: box + "-" + strconv.FormatInt(start.UnixMilli(), 36)}
}

func (s *idSource) next(now time.Time) string {
	return fmt.Sprintf("%s-%s-%d", s.prefix, strconv.FormatInt(now.Unix()/60, 36), s.n.Add(1))
}
