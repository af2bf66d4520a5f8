package router

import (
	"slices"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
)

// logEvacuations logs the failure domains whose evacuation begins or ends with a new
// inventory. before is nil for the first one.
func logEvacuations(log *logrus.Entry, before, after *fleetstate.Inventory) {
	var known []string
	if before != nil {
		known = before.EvacuatedDomains()
	}
	log = log.WithField("event", "evacuation")
	for _, domain := range after.EvacuatedDomains() {
		if !slices.Contains(known, domain) {
			log.WithFields(logrus.Fields{"domain": domain, "state": "requested"}).Info("sides of the failure domain get no new attempts")
		}
	}
	for _, domain := range known {
		if !after.Evacuated(domain) {
			log.WithFields(logrus.Fields{"domain": domain, "state": "ended"}).Info("sides of the failure domain get attempts again")
		}
	}
}
