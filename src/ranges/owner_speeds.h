#pragma once

#include "upstream/instance.h"

#include <map>

// How long upstreams run requests, from reports of the hosts that send them. Single reports vary by a third or more
// around an upstream's true mean, and a plan that followed each of them would move slots to and fro.
namespace pistachiospur {

using OwnerSpeeds = std::map<InstanceId, double>; // mean run time in ms

void noteRunTime(OwnerSpeeds&, const InstanceId&, double ms);
// The mean run time of an upstream; one of which nothing is known is taken for an average one.
double runMsOf(const OwnerSpeeds&, const InstanceId&);

} // namespace pistachiospur
