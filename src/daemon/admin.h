#pragma once

#include "context.h"
#include "coordinator.h"
#include "frontend.h"

#include <functional>

// The HTTP interface for operators and monitoring: /metrics, /healthz, /readyz, /status, /owner, /burn, /drain.
namespace pistachiospur {

class Admin {
public:
    Admin(HostContext&, Coordinators&, const Frontend&, std::function<void()> onDrain);

    HttpResponse answer(const HttpRequest&);

private:
    HttpResponse metrics();
    HttpResponse ready() const;
    HttpResponse status() const;
    HttpResponse owner(const HttpRequest&) const;
    HttpResponse burn() const;

    HostContext& m_context;
    Coordinators& m_coordinators;
    const Frontend& m_frontend;
    std::function<void()> m_onDrain;
};

} // namespace pistachiospur
