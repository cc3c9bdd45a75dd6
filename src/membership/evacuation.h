#pragma once

#include "pistachiospur/era.h"

#include <map>

// Data centres that an operator empties: their upstreams are to get nothing more. Pooled services leave a data centre
// at once. Owners of ranges there serve until it closes, so that their ranges can move out first. Times are on the boot
// clock.
namespace pistachiospur {

struct Evacuation {
    Millis requestedAfter {}; // the operator's request is not older than that
    Millis knownAt {}; // since when this host knows of it
    StoreRevision version; // of the operator's key
    bool isForgotten = false; // the store has come back from a copy that lacks the key
};

struct Evacuations {
    std::map<DataCentreName, Evacuation> active;
    std::map<DataCentreName, StoreRevision> withdrawn; // versions of the latest requests that were taken back
};

// The store holds a request to empty a data centre. `requestedAfter` is when this host's copy last held everything and
// not the request. One that was taken back, and that the store shows again from an older copy, does not count.
void noteEvacuation(Evacuations&, const DataCentreName&, StoreRevision version, Millis requestedAfter, Millis now);
// The operator's key was deleted: the request was taken back.
void noteWithdrawal(Evacuations&, const DataCentreName&, StoreRevision version);
// A read of all keys at this revision lacks the key. It was deleted, unless it is missing from an older copy that the
// store came back from: then the request stays in force until the key is deleted in the new era.
void noteMissing(Evacuations&, const DataCentreName&, StoreRevision read);

bool isEvacuated(const Evacuations&, const DataCentreName&);
// Requests for a data centre are not sent any more from this time on, which lies before the platform's bound,
// `evacuateTime` after the operator's request, by the time that a request may take to arrive.
Millis closesAt(const Evacuation&, Millis evacuateTime);
bool isClosed(const Evacuations&, const DataCentreName&, Millis evacuateTime, Millis now);
// By when the last range is to have left a data centre's upstreams.
Millis emptyBy(const Evacuation&, Millis evacuateTime);

} // namespace pistachiospur
