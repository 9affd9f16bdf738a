package keyed_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261204") }

// topic is a keyed topic whose older records can be removed at any time, and that can be
// restored from an older copy.
type topic struct {
	era     keyed.Era
	first   keyed.Offset
	records []keyed.Record
	newest  map[string]keyed.Record
}

func (p *topic) end() keyed.Offset { return p.first + keyed.Offset(len(p.records)) }

func (p *topic) next() keyed.Position { return keyed.Position{Era: p.era, Offset: p.end()} }

func (p *topic) clone() topic {
	return topic{first: p.first, records: slices.Clone(p.records), newest: maps.Clone(p.newest)}
}

func (p *topic) restore(backup topic) {
	era := p.era + 1
	*p = backup.clone()
	p.era = era
}

func (p *topic) write(key, value string) {
	record := keyed.Record{Key: key, Value: []byte(value), Offset: p.end()}
	p.records = append(p.records, record)
	if value == "" {
		delete(p.newest, key)
		return
	}
	p.newest[key] = record
}

func (p *topic) snapshot() keyed.Page {
	page := keyed.Page{Next: p.next()}
	for _, record := range p.newest {
		page.Records = append(page.Records, record)
	}
	return page
}

func (p *topic) read(from keyed.Position) (keyed.Page, bool) {
	if from.Era != p.era || from.Offset < p.first || from.Offset > p.end() {
		return keyed.Page{}, false
	}
	return keyed.Page{Records: p.records[from.Offset-p.first:], Next: p.next()}, true
}

// TestFollowerHoldsWhatTheTopicHolds applies the changes of a state to a map and
// draws writes, removals of older records and restores. It guards against lost and stale
// keys: the map must end up equal to the newest records of the topic.
func TestFollowerHoldsWhatTheTopicHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &topic{newest: make(map[string]keyed.Record)}
		backup := source.clone()
		var state keyed.State
		held := make(map[string]string)
		follow := func() {
			changes := update(source, &state)
			for _, change := range changes {
				if change.Value == nil {
					delete(held, change.Key)
					continue
				}
				held[change.Key] = string(change.Value)
			}
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				follow()
			case 1:
				source.first, source.records = source.end(), nil
			case 2:
				backup = source.clone()
			case 3:
				source.restore(backup)
			default:
				key := "k" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "key"))
				value := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "value")
				source.write(key, value)
			}
		}
		follow()
		want := make(map[string]string)
		for key, record := range source.newest {
			want[key] = string(record.Value)
		}
		if !maps.Equal(held, want) {
			t.Fatalf("held %v, want %v", held, want)
		}
	})
}

// update brings the state up to the end of the topic. It loads a snapshot if the
// next record cannot be read.
func update(source *topic, state *keyed.State) []keyed.Change {
	if state.Loaded() {
		if page, ok := source.read(state.Next()); ok {
			return state.Apply(page)
		}
	}
	return state.Load(source.snapshot())
}

func TestRecordsAreAppliedOnce(t *testing.T) {
	var state keyed.State
	state.Load(keyed.Page{Records: []keyed.Record{{Key: "a", Value: []byte("1"), Offset: 4}}, Next: keyed.Position{Offset: 5}})
	changes := state.Apply(keyed.Page{Records: []keyed.Record{
		{Key: "a", Value: []byte("0"), Offset: 3}, {Key: "b", Value: []byte("2"), Offset: 5},
	}, Next: keyed.Position{Offset: 6}})
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Key, "b")
	assert.Equal(t, state.Next(), keyed.Position{Offset: 6})
}
