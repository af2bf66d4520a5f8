package register

// Limits of a weight store that the inventory does not describe.
const (
	defaultLoadRate = 1
	defaultLoads    = 9
	defaultAdapters = 70
)

// Store is the platform's weight store with its limits.
type Store struct {
	name     string
	rate     int64
	loads    int64
	adapters int64
}

// Name returns the store's name.
func (s Store) Name() string { return s.name }

// Rate returns the loads of models that may begin in a second.
func (s Store) Rate() int64 { return s.rate }

// Loads returns the loads of models that run at full speed at once.
func (s Store) Loads() int64 { return s.loads }

// Adapters returns the loads of adapters that run at full speed at once.
func (s Store) Adapters() int64 { return s.adapters }

// Store returns the weight store, with the smallest known limits when the
// inventory describes none.
func (i *Inventory) Store() Store {
	for _, store := range i.stores {
		return store
	}
	return Store{rate: defaultLoadRate, loads: defaultLoads, adapters: defaultAdapters}
}

func (r *reader) readStore(name string) {
	store := Store{name: name, rate: r.integer("rate"), loads: r.integer("loads"), adapters: r.integer("adapters")}
	if len(r.inventory.stores) > 0 {
		r.fault("", "a second weight store is described; keep one [store NAME]")
	}
	r.inventory.stores[name] = store
}
