#include "notices.h"

#include "observe/events.h"

namespace pistachiospur {

void takeNotice(
    GatewayContext& context, const InstanceId& instance, const UpstreamNotice& notice, const std::string& sentId)
{
    const Millis now = monotonicNow();
    if (notice.load)
        context.loads[instance] = { *notice.load, now };
    if (notePause(context.pauses, instance, context.settings.host, notice.pause, now)) {
        logEvent(EventKind::state, "upstream_paused",
            { { "upstream", instance.name }, { "born", instance.startTime.value }, { "ms", notice.pause.count() },
                { "request", sentId } });
        context.metrics.count("pistachiospur_upstream_notices_total", { { "kind", "paused" } });
    }
    if (!notice.isLeaving || !context.directory.recordDeparture(instance))
        return;
    logEvent(EventKind::state, "upstream_leaving",
        { { "upstream", instance.name }, { "born", instance.startTime.value }, { "request", sentId } });
    context.metrics.count("pistachiospur_upstream_notices_total", { { "kind", "leaving" } });
    context.hub.send(otherHosts(context), UpstreamDeparture { instance });
}

void takeOrderNotice(
    GatewayContext& context, const InstanceId& instance, const HttpOutcome& outcome, const std::string& sentId)
{
    if (const auto* answer = std::get_if<HttpAnswer>(&outcome))
        takeNotice(context, instance, context.adapter.readNotice(*answer, sentId, instance.name), sentId);
}

void takeDeparture(GatewayContext& context, const HostName& from, const UpstreamDeparture& departure)
{
    if (context.directory.recordDeparture(departure.instance))
        logEvent(EventKind::state, "upstream_leaving",
            { { "upstream", departure.instance.name }, { "born", departure.instance.startTime.value },
                { "peer", from } });
}

} // namespace pistachiospur
