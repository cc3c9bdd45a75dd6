#include "body.h"

#include <algorithm>

namespace pistachiospur {

bool BodyCharge::hasRoomFor(std::size_t n) const
{
    const std::size_t left = m_budget->m_maxBytes - m_budget->m_used;
    const bool isAlone = m_budget->m_used == m_bytes;
    return left >= n && (isAlone || left - n >= m_bytes + n);
}

bool BodyCharge::take(std::size_t n)
{
    if (!m_budget)
        return true;
    if (!hasRoomFor(n) && m_budget->m_reclaim)
        m_budget->m_reclaim(m_bytes + 2 * n);
    if (!hasRoomFor(n))
        return false;
    m_budget->m_used += n;
    m_bytes += n;
    return true;
}

void BodyCharge::give(std::size_t n)
{
    if (!m_budget)
        return;
    const std::size_t returned = std::min(n, m_bytes);
    m_budget->m_used -= returned;
    m_bytes -= returned;
}

void BodyPipe::write(std::string_view data)
{
    if (m_state != State::open || data.empty())
        return;
    m_bytes.append(data);
    if (m_onData)
        m_onData();
}

void BodyPipe::finish()
{
    if (m_state != State::open)
        return;
    m_state = State::finished;
    if (m_onData)
        m_onData();
}

void BodyPipe::breakOff()
{
    if (m_state == State::broken)
        return;
    m_state = State::broken;
    m_bytes.clear();
    m_bytes.shrink_to_fit();
    m_readBytes = 0;
    if (m_onData)
        m_onData();
    if (m_onRead)
        m_onRead(0);
}

std::string BodyPipe::read(std::size_t n)
{
    std::string data = m_bytes.substr(m_readBytes, n);
    m_readBytes += data.size();
    if (m_readBytes >= kBodyWindowBytes || m_readBytes == m_bytes.size()) {
        m_bytes.erase(0, m_readBytes);
        m_readBytes = 0;
    }
    m_wasRead |= !data.empty();
    if (!data.empty() && m_onRead)
        m_onRead(data.size());
    return data;
}

} // namespace pistachiospur
