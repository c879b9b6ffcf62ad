package decide

import (
	"slices"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file keeps a stream at the build that began it. A build is a version of the engines' software. Engines of several
// builds can serve a pool at the same time, and what two builds write does not fit together.
//
// Every list of decode engines for a request comes from decodesFor, which leaves out other builds. A stream without its
// build has nowhere to go. It is ended as soon as that is known.

// fitsBuild reports whether an engine is of the build that the request is bound to. A request is bound once it has an event.
// Engines whose build is not known bind nothing.
func (f *flight) fitsBuild(e *engine) bool { return !f.bound() || f.Build == e.Build }

// bound reports whether not every build will do. A stream that was planned while no engine named its build begins at engines
// that name none.
func (f *flight) bound() bool { return f.Build != "" || f.Planned }

// bindBuild binds the request to the build of its decode engine, which has sent the first event of the answer.
func (f *flight) bindBuild() {
	if f.Build == "" {
		f.Build = f.decode.Build
	}
	f.Planned = false
}

// endWithoutBuild ends a request whose build has no decode engine left that takes new work. It reports whether it did.
func (c *Core) endWithoutBuild(f *flight) bool {
	if f.Build == "" {
		return false
	}
	serves := func(e *engine) bool { return f.fitsBuild(e) && !e.leaving() }
	reg := f.pool.regionNamed(f.Region)
	if slices.ContainsFunc(reg.decode, serves) {
		return false
	}
	if f.Planned && !slices.ContainsFunc(reg.decode, func(e *engine) bool { return !e.leaving() }) {
		return false // No build serves: the stream waits like one that is bound to none.
	}
	c.endWithRetryAfter(f, outcome.BuildGone, maxRetryAfter)
	return true
}

// shrinkingBuildReserve is the part of the memory of an engine that new streams leave free if the engine's build shrinks.
// The streams that the build has begun have nowhere else to go; new ones do.
const shrinkingBuildReserve = 0.1

// buildCount counts the decode engines of a build: those that stay, and those that leave.
type buildCount struct {
	build            string
	staying, leaving int
}

// countBuilds counts the decode engines of the region by build.
func (r *region) countBuilds() {
	r.builds = r.builds[:0]
	for _, e := range r.decode {
		i := slices.IndexFunc(r.builds, func(b buildCount) bool { return b.build == e.Build })
		if i < 0 {
			r.builds = append(r.builds, buildCount{build: e.Build})
			i = len(r.builds) - 1
		}
		if e.Leaving {
			r.builds[i].leaving++
		} else {
			r.builds[i].staying++
		}
	}
}

// shrinks reports whether engines of a build leave while another build serves, from which none leaves.
func (r *region) shrinks(build string) bool {
	if len(r.builds) < 2 {
		return false
	}
	leaves, otherStays := false, false
	for _, b := range r.builds {
		if b.build == build {
			leaves = b.leaving > 0
		} else {
			otherStays = otherStays || b.leaving == 0 && b.staying > 0
		}
	}
	return leaves && otherStays
}

// keepsBuildReserve reports whether a request may take the room that it needs on an engine. A request that is bound to the
// engine's build may; others must leave the reserve of a shrinking build free.
func (f *flight) keepsBuildReserve(r *region, e *engine) bool {
	if f.Build != "" && !f.Planned || !r.shrinks(e.Build) {
		return true
	}
	return float64(e.freeKV()-f.kvNeedAtStart()) >= shrinkingBuildReserve*float64(e.KVTokens)
}

// decodesFor returns the decode engines that a decision about the request may sample: those of the build that the request is
// bound to.
func (c *Core) decodesFor(r *region, f *flight) []*engine {
	if !f.bound() || len(r.builds) == 1 && r.builds[0].build == f.Build {
		return r.decode
	}
	c.ofBuild = c.ofBuild[:0]
	for _, e := range r.decode {
		if f.fitsBuild(e) {
			c.ofBuild = append(c.ofBuild, e)
		}
	}
	return c.ofBuild
}
