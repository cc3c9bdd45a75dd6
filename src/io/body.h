#pragma once

#include "memory.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// Bodies in transit: how much memory they may use on this host, and the pipe through which a large body flows.
namespace pistachiospur {

// A bound on the memory for requests, shared by all connections of a process.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    std::size_t used() const { return m_used; }
    std::size_t maxBytes() const { return m_maxBytes; }
    // Registers who frees memory when there is too little left, given the number of bytes that are needed.
    void onShortage(std::function<void(std::size_t)> reclaim) { m_reclaim = std::move(reclaim); }

private:
    friend class BodyCharge;
    std::size_t m_maxBytes;
    std::size_t m_used = 0;
    std::function<void(std::size_t)> m_reclaim;
};

// Bytes that one request has taken from a budget; returned when it is destroyed.
class BodyCharge {
public:
    // Without a budget nothing is counted.
    explicit BodyCharge(std::shared_ptr<MemoryBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~BodyCharge() { give(m_bytes); }
    BodyCharge(const BodyCharge&) = delete;
    BodyCharge& operator=(const BodyCharge&) = delete;

    // Takes more bytes; false if the budget has too little left, and then takes none. As much as the request holds in
    // all must remain for others, unless there are none, so that large requests cannot take everything.
    bool take(std::size_t n);
    void give(std::size_t n);
    std::size_t bytes() const { return m_bytes; }

private:
    bool hasRoomFor(std::size_t n) const;

    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_bytes = 0;
};

// Bytes that a pipe holds before its writer should stop.
constexpr std::size_t kBodyWindowBytes = 128u << 10;

// The part of a body that has arrived and has not been sent on. One side writes, the other reads; each is told by a
// callback when the other has made progress. Callbacks must not destroy the pipe's owner.
class BodyPipe {
public:
    enum class State {
        open,
        finished, // the writer has written everything
        broken, // the writer or the reader has given up; the bytes are discarded
    };

    void write(std::string_view);
    void finish();
    // Ends the transfer from either side.
    void breakOff();
    // Takes at most n bytes; empty if none are buffered now.
    std::string read(std::size_t n);
    // Whether bytes have been taken. The request can then not be sent again.
    bool wasRead() const { return m_wasRead; }

    State state() const { return m_state; }
    std::size_t buffered() const { return m_bytes.size() - m_readBytes; }
    std::size_t heldBytes() const { return heapBytes(m_bytes); }
    bool isAtEnd() const { return m_state == State::finished && buffered() == 0; }
    // Whether the writer should wait until bytes are read.
    bool isFull() const { return buffered() >= kBodyWindowBytes; }

    // Called when bytes or the end were written, or the transfer was broken off.
    void onData(std::function<void()> callback) { m_onData = std::move(callback); }
    // Called with the number of bytes when some were read, and with 0 when the transfer was broken off.
    void onRead(std::function<void(std::size_t)> callback) { m_onRead = std::move(callback); }

private:
    std::string m_bytes; // the first m_readBytes have been read
    std::size_t m_readBytes = 0;
    bool m_wasRead = false;
    State m_state = State::open;
    std::function<void()> m_onData;
    std::function<void(std::size_t)> m_onRead;
};

} // namespace pistachiospur
