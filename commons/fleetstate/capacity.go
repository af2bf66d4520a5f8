package fleetstate

import (
	"cmp"
	"slices"
	"strings"

	"sesamewell.example/commons/inifile"
)

// CheckInventory is ParseInventory for an inventory that is about to be applied:
// it also reports models that do not fit on the engines.
func CheckInventory(path string, text []byte) (*Inventory, error) {
	return parseInventory(path, text, true)
}

// checkCapacity reports each model that fits on no engine, and models that do not
// all fit on the engines at once.
func (p *parser) checkCapacity() {
	engines := p.engines()
	models := p.inventory.Models()
	footprints := p.inventory.Footprints()
	slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(footprints[b.name], footprints[a.name]) })
	var needed, available int64
	for _, engine := range engines {
		available += engine.memory
	}
	var candidates []Model
	for _, model := range models {
		p.section = "model " + model.name
		if len(engines) == 0 || footprints[model.name] > engines[0].memory {
			p.reportMisfit(model, footprints[model.name], engines)
			continue
		}
		needed += footprints[model.name]
		candidates = append(candidates, model)
	}
	if needed > available {
		p.section = "model " + candidates[0].name
		p.addFault("memory", "the models take %s together with caches and adapters, but the engines have %s; add engines with %s more or remove models",
			inifile.FormatBytes(needed), inifile.FormatBytes(available), inifile.FormatBytes(needed-available))
		return
	}
	p.place(candidates, footprints, engines)
}

// engines returns the engines that are not draining, largest memory first.
func (p *parser) engines() []Backend {
	var engines []Backend
	for _, backend := range p.inventory.Backends() {
		if backend.kind == Engine && !backend.draining {
			engines = append(engines, backend)
		}
	}
	slices.SortStableFunc(engines, func(a, b Backend) int { return cmp.Compare(b.memory, a.memory) })
	return engines
}

func (p *parser) reportMisfit(model Model, footprint int64, engines []Backend) {
	if len(engines) == 0 {
		p.addFault("memory", "no backend server takes model %s; add one with kind = engine", model.name)
		return
	}
	p.addFault("memory", "model %s takes %s with its cache and adapters, but the largest engine, %s, has %s; lower cache, move adapters or add an engine with %s",
		model.name, inifile.FormatBytes(footprint), engines[0].name, inifile.FormatBytes(engines[0].memory), inifile.FormatBytes(footprint))
}

// place assigns each model to the engine where it leaves the least free memory
// (best fit) and reports the models that fit on no engine.
func (p *parser) place(models []Model, footprints map[string]int64, engines []Backend) {
	free := make([]int64, len(engines))
	for i, engine := range engines {
		free[i] = engine.memory
	}
	var unplaced []string
	for _, model := range models {
		best := -1
		for i := range free {
			if free[i] >= footprints[model.name] && (best < 0 || free[i] < free[best]) {
				best = i
			}
		}
		if best < 0 {
			unplaced = append(unplaced, model.name)
			continue
		}
		free[best] -= footprints[model.name]
	}
	if len(unplaced) > 0 {
		p.section = "model " + unplaced[0]
		p.addFault("memory", "the engines have room enough in all, but not in one piece for %s; add an engine or make models smaller", strings.Join(unplaced, ", "))
	}
}
