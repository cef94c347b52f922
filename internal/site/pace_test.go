package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/micaline/internal/mutation"
)

// couple is a pacer and an agent that follows it, whose own way to site a may be cut.
type couple struct {
	pacer, other *world
	rng          *rand.Rand
	up, way, own bool // site a, and the ways of the other and of the pacer to it
	words        bool // the pacer is heard
	epoch        uint64
	losses       map[PacerStatus]bool // of which the pacer was heard to ask
	returns      int                  // by its word
	held         bool                 // the other hears that the site is lost
	bug          string
}

// well is a world in which all has been well.
func well(now time.Duration) *world {
	w := newWorld(true, "")
	w.now = now
	if err := w.step(0, true); err != nil {
		panic(err) // nothing has happened
	}
	return w
}

func (c *couple) move() {
	switch c.rng.IntN(16) {
	case 0, 1:
		c.up = !c.up
	case 2:
		c.way = !c.way
	case 3:
		c.words = !c.words
	case 5:
		c.other.move("return a")
	case 4: // another one paces, which knows of no loss
		now := c.pacer.now
		c.pacer = well(now)
		c.epoch++
	}
}

func (c *couple) step() error {
	for i := range serversOf {
		c.pacer.up[i], c.other.up[i] = c.up && c.own, c.up && c.way
	}
	if err := c.pacer.step(beat, true); err != nil {
		return fmt.Errorf("the pacer: %w", err)
	}
	m := c.other.m
	a := &m.sites[0]
	w, ok := c.pacer.m.PacerStatus("a")
	switch {
	case !c.words || !ok:
		m.FollowPacer(c.other.now, "a", 0, nil)
		c.held, ok = false, false
	default:
		m.FollowPacer(c.other.now, "a", c.epoch, &w)
		if w.State == Lost {
			c.losses[PacerStatus{Loss: c.epoch<<32 + w.Loss}] = true
		}
		c.held = w.State == Lost
	}
	switch {
	case c.bug == "hears no pacer" && a.word != nil && a.word.State == Recovering:
		a.word = nil
	case c.bug == "follows every return" && a.state == Lost && a.word != nil && a.word.State != Lost:
		a.heard = a.word.Loss
	case c.bug == "asks as if alone" && a.word != nil && a.word.State == Lost:
		a.word = nil
	case c.bug == "waits for its pacer for ever" && a.word != nil:
		a.wordAt = m.now
		if a.state == Lost && a.word.State == Lost {
			a.askedAt = m.now
		}
	}
	before, asked, elsewhere, said := a.state, a.askedAt, m.anyStands(), c.other.said
	if err := c.other.step(beat, true); err != nil {
		return err
	}
	switch {
	case a.state == Recovering && before == Recovering && ok && w.State == Recovering && a.let > int(w.Part*serversOf+0.999):
		return fmt.Errorf("Paced: %d servers are let in, and the pacer has %.0f%% in", a.let, 100*w.Part)
	case a.state == Recovering && before == Lost && ok && w.State == Lost && !c.other.probed[0]:
		return errors.New("Asked: no probe was answered, its pacer has nothing let in, and it returns")
	case a.state == Lost && a.askedAt > asked && c.held && elsewhere && !said && a.askedAt-max(asked, a.since) < MaxRetryWait:
		return fmt.Errorf("Spared: asked %v after the last time, and the pacer asks for all", a.askedAt-max(asked, a.since))
	case a.state == Recovering && before == Lost && !c.other.probed[0]:
		if c.returns++; c.returns > len(c.losses) {
			return fmt.Errorf("Once: %d returns by the word of pacers that have lost it %d times", c.returns, len(c.losses))
		}
	}
	return nil
}

// pace plays a pacer and one that follows it, and says what is wrong.
func pace(seed uint64, bug string) error {
	c := &couple{
		pacer: well(time.Hour), other: well(time.Hour), rng: rand.New(rand.NewPCG(seed, 3)),
		up: true, way: true, own: true, words: true, losses: map[PacerStatus]bool{}, bug: bug,
	}
	c.other.paced = true
	for range 60 {
		c.move()
		for range c.rng.IntN(12) {
			if err := c.step(); err != nil {
				return err
			}
		}
	}
	// The site and the way are well; the pacer is heard on, or not. Where the pacer is the one that is cut off the other returns alone.
	c.way, c.up = true, true
	away := c.rng.IntN(3) == 0
	c.own = !away
	for end := c.other.now + 3*MaxRetryWait; c.other.now < end; {
		if err := c.step(); err != nil {
			return err
		}
		if a := &c.other.m.sites[0]; a.state == Healthy && !away {
			return nil
		}
	}
	if a := &c.other.m.sites[0]; a.state != Healthy {
		return fmt.Errorf("Back: %v in the end, %d let in, the pacer away %v and heard %v", a.state, a.let, away, c.words)
	}
	return nil
}

func TestExploreFollowing(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 200
	}
	for seed := range seeds {
		if err := pace(seed, ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each planted bug breaks the property that is named beforehand.
func TestFollowingPlanted(t *testing.T) {
	mutation.Each(t, map[string]string{
		"hears no pacer":               "Paced",
		"follows every return":         "Once",
		"asks as if alone":             "Spared",
		"waits for its pacer for ever": "Back",
	}, 2000, func(seed uint64, bug string) []string {
		if err := pace(seed, bug); err != nil {
			return []string{err.Error()}
		}
		return nil
	})
}
