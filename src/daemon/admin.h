#pragma once

#include "coordinator.h"
#include "frontend.h"
#include "node.h"

#include <functional>

// The HTTP interface for operators and monitoring: /metrics, /healthz, /readyz, /status, /owner, /burn, /drain.
namespace pistachiospur {

class Admin {
public:
    Admin(Node&, Coordinators&, const Frontend&, std::function<void()> onDrain);

    HttpResponse answer(const HttpRequest&);

private:
    HttpResponse metrics();
    HttpResponse ready() const;
    HttpResponse status() const;
    HttpResponse owner(const HttpRequest&) const;
    HttpResponse burn() const;

    Node& m_node;
    Coordinators& m_coordinators;
    const Frontend& m_frontend;
    std::function<void()> m_onDrain;
};

} // namespace pistachiospur
