#pragma once

#include "io/http_client.h"
#include "pistachiospur/grant.h"
#include "pistachiospur/objects.h"
#include "pistachiospur/request.h"

#include <optional>
#include <string>

// How the router speaks to an upstream over HTTP: grants as JSON on one path, requests as they came with the order's
// facts in headers.
namespace pistachiospur {

constexpr const char* kGrantPath = "/pistachiospur/grant";
constexpr const char* kSlotHeader = "pistachiospur-slot";
constexpr const char* kEpochHeader = "pistachiospur-epoch";
constexpr const char* kTermHeader = "pistachiospur-term";
constexpr const char* kDeadlineHeader = "pistachiospur-deadline-ms";
// On an upstream's answer: "no" when it provably did not execute the request.
constexpr const char* kRanHeader = "pistachiospur-ran";

std::string encodeRenewal(const Renewal&);
std::optional<Renewal> decodeRenewal(const std::string& text);
std::string encodeRenewalReply(const RenewalReply&);
std::optional<RenewalReply> decodeRenewalReply(const std::string& text);

HttpCall renewalCall(const Upstream&, const Renewal&, Millis timeout);
HttpCall requestCall(const Upstream&, const Request&, SlotGrant, Term, Millis now);

// What a request's failure on the way means for its caller, whatever the upstream speaks.
Refusal refusalFor(HttpFault);
// What an upstream's outcome means for the caller. An answer that is not provably whole counts as broken.
Reply interpret(HttpOutcome);

} // namespace pistachiospur
