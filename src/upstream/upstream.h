#pragma once

#include "io/http_client.h"
#include "pistachiospur/grant.h"
#include "pistachiospur/objects.h"
#include "pistachiospur/request.h"

#include <optional>
#include <string>

// The protocol between the router and an upstream over HTTP. Grants are JSON documents posted to one path. Requests are
// forwarded as received, with the slot, epoch, term and deadline added as headers.
namespace pistachiospur {

constexpr const char* kGrantPath = "/pistachiospur/grant";
constexpr const char* kSlotHeader = "pistachiospur-slot";
constexpr const char* kEpochHeader = "pistachiospur-epoch";
constexpr const char* kTermHeader = "pistachiospur-term";
constexpr const char* kDeadlineHeader = "pistachiospur-deadline-ms";
// Header of an upstream's answer. "no" means that the upstream did not execute the request.
constexpr const char* kRanHeader = "pistachiospur-ran";

std::string encodeRenewal(const Renewal&);
std::optional<Renewal> decodeRenewal(const std::string& text);
std::string encodeRenewalReply(const RenewalReply&);
std::optional<RenewalReply> decodeRenewalReply(const std::string& text);

HttpCall renewalCall(const Upstream&, const Renewal&, Millis timeout);
HttpCall requestCall(const Upstream&, const Request&, SlotGrant, Term, Millis now);

// Maps an HTTP failure to the refusal for the caller. The mapping is the same for every upstream protocol.
Refusal refusalFor(HttpFault);
// Maps the outcome of a call to an upstream to the reply for the caller. An answer whose length is not declared counts
// as broken, because it may be truncated.
Reply replyFor(HttpOutcome);

} // namespace pistachiospur
