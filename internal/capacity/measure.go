package capacity

import "github.com/juju/errors"

// Names lists the series in the order in which they are printed.
var Names = []string{
	blockTable, blockRebuild, blockContent, blockEstate, blockObjects, blockSplit, blockJoin, blockChange, blockApply, blockChoose,
	siteContent, siteChange, siteApply, sitePlan, zonePlan, zoneTables, zoneRamp, zoneRest,
	memberHeap, memberTick, memberChange, memberPublish, memberAnew, memberSet, memberRecords, zoneLoads, pacedGrant,
	ownerRow, ownerTick, ownerHeap, linkRow, linkTick, linkHeap, claimRow, keyHeap,
	trafficPlain, trafficRelay, trafficThree, trafficMesh,
	listBytes, wireHeartbeats, wireCalls, wireLookups, wireAnswer, wireSessions,
}

// Measure measures all series. progress is told each name.
func Measure(progress func(name string)) (Results, error) {
	out := Results{}
	add := func(s Series) {
		out[s.Name] = s
		progress(s.Name)
	}
	for _, m := range []func(func(Series)) error{measureWire, measureTraffic, measureMembers, measureRows, measureZones, measureSites, measureBlocks} {
		if err := m(add); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return out, nil
}
