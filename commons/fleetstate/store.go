package fleetstate

// Limits of a weight store that the inventory does not describe.
const (
	defaultLoadRate         = 1
	defaultFastLoads        = 9
	defaultFastAdapterLoads = 70
)

// Store is the platform's weight store with its limits.
type Store struct {
	name             string
	loadRate         int64
	fastLoads        int64
	fastAdapterLoads int64
}

// Name returns the store's name.
func (s Store) Name() string { return s.name }

// Rate returns the loads of models that may begin in a second.
func (s Store) LoadRate() int64 { return s.loadRate }

// Loads returns the loads of models that run at full speed at once.
func (s Store) FastLoads() int64 { return s.fastLoads }

// Adapters returns the loads of adapters that run at full speed at once.
func (s Store) FastAdapterLoads() int64 { return s.fastAdapterLoads }

// Store returns the weight store, with the smallest known limits when the
// inventory describes none.
func (i *Inventory) Store() Store {
	for _, store := range i.stores {
		return store
	}
	return Store{loadRate: defaultLoadRate, fastLoads: defaultFastLoads, fastAdapterLoads: defaultFastAdapterLoads}
}

func (r *parser) readStore(name string) {
	store := Store{name: name, loadRate: r.integer("rate"), fastLoads: r.integer("loads"), fastAdapterLoads: r.integer("adapters")}
	if len(r.inventory.stores) > 0 {
		r.addFault("", "a second weight store is described; keep one [store NAME]")
	}
	r.inventory.stores[name] = store
}
