#pragma once

#include "context.h"

// Keeps what upstreams say of themselves in their answers, besides the answers themselves.
namespace pistachiospur {

// Takes note of what the answer to a request or an order of this host says; `sentId` is the id that it was sent with.
void takeNotice(GatewayContext&, const InstanceId&, const UpstreamNotice&, const std::string& sentId);
// The same for the outcome of an order, which may have no answer.
void takeOrderNotice(GatewayContext&, const InstanceId&, const HttpOutcome&, const std::string& sentId);
// Another host has seen an answer by which the instance leaves.
void takeDeparture(GatewayContext&, const HostName& from, const UpstreamDeparture&);

} // namespace pistachiospur
