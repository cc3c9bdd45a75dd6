#pragma once

#include "coordinator.h"
#include "entry.h"
#include "node.h"

#include <functional>

// What operators and monitoring ask of a host: /metrics, /healthz, /readyz, /status, /owner, /burn, /drain.
namespace pistachiospur {

class Admin {
public:
    Admin(Node&, Coordinators&, const Entry&, std::function<void()> onDrain);

    HttpResponse answer(const HttpRequest&);

private:
    HttpResponse metrics();
    HttpResponse ready() const;
    HttpResponse status() const;
    HttpResponse owner(const HttpRequest&) const;
    HttpResponse burn() const;

    Node& m_node;
    Coordinators& m_coordinators;
    const Entry& m_entry;
    std::function<void()> m_onDrain;
};

} // namespace pistachiospur
