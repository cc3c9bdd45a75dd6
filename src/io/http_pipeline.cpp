#include "http_pipeline.h"

#include "memory.h"

#include <algorithm>

namespace pistachiospur {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
// Empty lines before a request. More are no request.
constexpr std::size_t kMaxBlankBytes = 1024;
// What the pipeline keeps of a request that waits for its response or its turn.
constexpr std::size_t kSlotBytes = 512;
constexpr std::size_t kInputSlackBytes = 1024;

} // namespace

HttpPipeline::HttpPipeline(const HttpLimits& limits, Handlers handlers, std::shared_ptr<MemoryBudget> budget)
    : m_limits(limits)
    , m_handlers(std::move(handlers))
    , m_budget(std::move(budget))
{
}

HttpPipeline::Slot* HttpPipeline::findSlot(Sequence sequence)
{
    const bool known = sequence >= m_firstSequence && sequence - m_firstSequence < m_slots.size();
    return known ? &m_slots[sequence - m_firstSequence] : nullptr;
}

// --- Requests ---

void HttpPipeline::receive(std::string_view bytes, Millis now)
{
    m_now = now;
    if (m_inputEnded)
        return;
    if (m_input.empty() && !m_parsing) {
        const std::size_t used = parseAll(bytes);
        m_input = bytes.substr(used);
        trimInput();
        return;
    }
    m_input.append(bytes);
    parse();
}

bool HttpPipeline::wantsInput() const
{
    return m_inputEnded || (!isBodyBlocked() && m_input.size() < m_limits.headerBytes);
}

std::size_t HttpPipeline::waitingMemory() const
{
    return heapBytes(m_input) + heapBytes(m_output) + m_waitingBytes + m_slots.size() * kSlotBytes
        + (m_pipe ? m_pipe->heldBytes() : 0);
}

bool HttpPipeline::mayStartNext() const
{
    return !m_inputEnded && m_slots.size() < kMaxPipelined && m_waitingBytes < kMaxWaitingResponseBytes
        && m_output.size() < m_limits.outputBytes && (m_slots.empty() || m_slots.back().safe);
}

// Whether the request that is arriving, the last slot, may be handled beside those before it.
bool HttpPipeline::mayPassOn() const { return m_slots.size() == 1 || m_slots.back().safe; }

// Whether no more of the arriving body can be taken now: its reader is slower, or its request waits for its turn.
bool HttpPipeline::isBodyBlocked() const
{
    if (m_pipe)
        return m_pipe->isFull();
    return m_headSeen && m_limits.bodiesFlow && m_request.body.size() >= kHeldBodyBytes;
}

void HttpPipeline::parse()
{
    if (m_parsing)
        return;
    m_input.erase(0, parseAll(m_input));
    trimInput();
}

// Parses as much of the input as is possible now; returns how many bytes that was.
std::size_t HttpPipeline::parseAll(std::string_view input)
{
    m_parsing = true;
    std::size_t used = 0, consumed = 0;
    while (parseStep(input.substr(used), consumed))
        used += consumed;
    m_parsing = false;
    return used + consumed;
}

// Returns memory that the input does not need.
void HttpPipeline::trimInput()
{
    if (m_inputEnded)
        freeMemory(m_input);
    if (m_input.capacity() > 2 * m_input.size() + kInputSlackBytes)
        m_input.shrink_to_fit();
}

// Begins a request, if the input has one and it may be begun now.
bool HttpPipeline::begin(std::string_view input, std::size_t& consumed)
{
    // Some clients send an empty line after a body.
    consumed = std::min(input.find_first_not_of("\r\n"), input.size());
    m_blankBytes += consumed;
    if (m_blankBytes > kMaxBlankBytes) {
        endInput();
        return false;
    }
    if (consumed == input.size() || !mayStartNext())
        return false;
    m_blankBytes = 0;
    m_receivingSince = m_now;
    m_charge = std::make_shared<BodyCharge>(m_budget);
    m_parser = std::make_unique<RequestParser>(
        m_limits.headerBytes, m_request, [this](std::string_view data) { onBody(data); });
    return true;
}

// One step of parsing: the start of a request, a piece of it, or passing it on. Returns false when no further step is
// possible now.
bool HttpPipeline::parseStep(std::string_view input, std::size_t& consumed)
{
    consumed = 0;
    if (m_inputEnded)
        return false;
    if (!m_parser)
        return begin(input, consumed);
    if (m_parser->isDone()) {
        if (!m_pipe) {
            if (!mayPassOn())
                return false;
            HttpRequest request = takeRequest();
            finishReceiving();
            m_handlers.onRequest(m_firstSequence + m_slots.size() - 1, std::move(request));
        } else {
            m_pipe->finish();
            finishReceiving();
        }
        return !m_inputEnded;
    }
    if (isBodyBlocked()) {
        if (m_pipe || !mayPassOn())
            return false;
        m_pipe = std::make_shared<BodyPipe>();
        passOn();
        return true;
    }
    if (input.empty())
        return false;
    consumed = m_parser->consume(input);
    if (m_inputEnded) // its body was refused
        return false;
    if (const auto status = m_parser->errorStatus()) {
        if (m_pipe)
            endInput();
        else
            refuse({ *status, {}, "" });
        return false;
    }
    if (!m_headSeen && !chargeHead()) {
        refuseForMemory();
        return false;
    }
    if (m_parser->isHeadDone() && !m_headSeen)
        onHead();
    if (consumed == 0)
        refuseIfStuck(input);
    return consumed > 0;
}

// Refuses a request that cannot go on with the input and with no more of it either.
void HttpPipeline::refuseIfStuck(std::string_view input)
{
    // What is no end of a line, a chunk or a trailer by then never becomes one.
    const bool isStuck = !m_inputEnded && !isBodyBlocked() && input.size() >= m_limits.headerBytes;
    if (isStuck && m_pipe)
        endInput();
    else if (isStuck)
        refuse({ kBadRequest, {}, "" });
}

// Takes the memory of the head as far as it has been parsed; false if there is too little.
bool HttpPipeline::chargeHead()
{
    const std::size_t bytes = m_parser->headBytes() * (m_parser->isHeadDone() ? m_limits.headCopies : 1);
    if (bytes > m_chargedHeadBytes && !m_charge->take(bytes - m_chargedHeadBytes))
        return false;
    m_chargedHeadBytes = bytes;
    return true;
}

void HttpPipeline::onHead()
{
    m_headSeen = true;
    m_request.receivedAt = m_now;
    Slot slot;
    slot.safe = isSafeMethod(m_request.method);
    slot.headOnly = m_request.method == "HEAD";
    slot.closes = !m_parser->keepsAlive();
    m_slots.push_back(std::move(slot));
    const auto bodyBytes = m_parser->contentLength();
    if (bodyBytes == 0u)
        return;
    if (m_handlers.checkHead) {
        if (auto response = m_handlers.checkHead(m_request, bodyBytes))
            return refuse(std::move(*response));
    }
    if (bodyBytes && *bodyBytes > m_limits.bodyBytes)
        return onBody({});
    // Otherwise the caller sends the body after a short wait by itself.
    if (m_parser->expectsContinue() && m_slots.size() == 1)
        m_output += kContinueResponse;
}

void HttpPipeline::onBody(std::string_view data)
{
    if (m_inputEnded)
        return;
    m_bodyBytes += data.size();
    const auto declared = m_parser->contentLength().value_or(0);
    if (std::max<std::uint64_t>(m_bodyBytes, declared) > m_limits.bodyBytes) {
        if (!m_pipe) {
            freeMemory(m_request.body);
            m_request.tooLarge = true;
            // The slot may have to wait for its turn; the request is then passed on without its body.
            if (mayPassOn())
                passOn();
            else
                m_slots.pop_back(); // counts as not read, since the connection closes
        }
        return endInput();
    }
    if (m_pipe)
        return m_pipe->write(data);
    const std::size_t held = m_request.body.empty() ? 0 : m_request.body.capacity();
    m_request.body.append(data);
    if (m_request.body.capacity() > held && !m_charge->take(m_request.body.capacity() - held))
        refuseForMemory();
}

HttpRequest HttpPipeline::takeRequest()
{
    m_slots.back().passedOn = true;
    m_request.rest = m_pipe;
    m_request.bodyCharge = m_charge;
    return std::move(m_request);
}

// Passes the request on although its body is still arriving.
void HttpPipeline::passOn()
{
    const Sequence sequence = m_firstSequence + m_slots.size() - 1;
    m_handlers.onRequest(sequence, takeRequest());
}

// Refuses the request that is arriving, because the budget has too little memory left.
void HttpPipeline::refuseForMemory()
{
    refuse(m_handlers.overloadResponse ? m_handlers.overloadResponse() : HttpResponse { 503, {}, "" });
}

// Refuses the request that is arriving. The rest of it is not read, so the connection closes.
void HttpPipeline::refuse(HttpResponse response)
{
    if (!m_headSeen)
        m_slots.emplace_back();
    m_slots.back().response = std::move(response);
    m_slots.back().complete = true;
    dropRequest();
    endInput();
    advance();
}

// Reads nothing more. The connection closes once the requests that were passed on are answered.
void HttpPipeline::endInput()
{
    m_inputEnded = true;
    releasePipe();
    closeAfterLast();
}

void HttpPipeline::end()
{
    m_inputEnded = true;
    if (!m_parsing) {
        freeMemory(m_input);
        dropRequest();
    }
    releasePipe();
}

// Breaks off the body that flows, if it has not arrived completely. Its reader must not call this pipeline any more.
void HttpPipeline::releasePipe()
{
    if (const auto pipe = std::exchange(m_pipe, nullptr)) {
        pipe->onRead(nullptr);
        pipe->breakOff();
    }
}

void HttpPipeline::timeOut()
{
    if (m_inputEnded)
        return;
    if (m_pipe || !m_parser)
        return endInput();
    refuse({ kRequestTimeout, {}, "" });
}

// Forgets the request that is arriving, or what is left of one that was passed on.
void HttpPipeline::dropRequest()
{
    freeMemory(m_request.body);
    m_request = {};
    m_charge.reset();
}

void HttpPipeline::finishReceiving()
{
    if (!m_slots.empty() && m_slots.back().closes)
        m_inputEnded = true;
    m_parser.reset();
    if (m_pipe)
        m_pipe->onRead(nullptr);
    m_pipe.reset();
    dropRequest();
    m_chargedHeadBytes = 0;
    m_bodyBytes = 0;
    m_headSeen = false;
    m_hasReceivedRequest = true;
}

// --- Responses ---

void HttpPipeline::respond(Sequence sequence, HttpResponse response)
{
    Slot* slot = findSlot(sequence);
    if (!slot || slot->response)
        return;
    const bool closes = asksToClose(response.headers);
    m_waitingBytes += response.body.size();
    slot->response = std::move(response);
    slot->complete = true;
    // A response that comes before the whole body has arrived ends the connection; the rest of the body is not wanted.
    const bool bodyArriving = m_headSeen && slot == &m_slots.back();
    if (bodyArriving)
        endInput();
    else if (closes)
        closeAfterLast();
    advance();
    parse();
}

void HttpPipeline::beginStream(Sequence sequence, HttpResponse head)
{
    Slot* slot = findSlot(sequence);
    if (!slot || slot->response)
        return;
    slot->response = std::move(head);
    slot->response->body.clear();
    slot->streaming = true;
    advance();
}

void HttpPipeline::writeStream(Sequence sequence, const std::string& data)
{
    Slot* slot = findSlot(sequence);
    if (!slot || !slot->streaming || slot->complete || data.empty())
        return;
    const std::string chunk = encodeChunk(data);
    slot->chunks += chunk;
    m_waitingBytes += chunk.size();
    advance();
}

void HttpPipeline::finishStream(Sequence sequence)
{
    Slot* slot = findSlot(sequence);
    if (!slot || !slot->streaming || slot->complete)
        return;
    slot->chunks += kLastChunk;
    m_waitingBytes += kLastChunk.size();
    slot->complete = true;
    advance();
    parse();
}

// Closes the connection after the last response to a request that was passed on. A request behind it that was not
// passed on is dropped; it counts as not read.
void HttpPipeline::closeAfterLast()
{
    m_inputEnded = true;
    if (!m_slots.empty() && !m_slots.back().passedOn && !m_slots.back().response)
        m_slots.pop_back();
    if (m_slots.empty())
        m_closing = true;
    else
        m_slots.back().closes = true;
}

void HttpPipeline::sendSlot(Slot& slot)
{
    if (!slot.response)
        return;
    HttpResponse& response = *slot.response;
    if (!std::exchange(slot.headSent, true)) {
        const auto bytes = slot.streaming ? std::nullopt : std::optional(response.body.size());
        const std::string head = encodeHead(response, bytes, slot.closes);
        m_output.reserve(m_output.size() + head.size() + (slot.headOnly ? 0 : response.body.size()));
        m_output += head;
        m_waitingBytes -= response.body.size();
        if (!slot.headOnly)
            m_output += response.body;
        freeMemory(response.body);
    }
    m_output += slot.chunks;
    m_waitingBytes -= slot.chunks.size();
    slot.chunks.clear();
}

// Moves the responses whose turn it is to the output.
void HttpPipeline::advance()
{
    while (!m_slots.empty()) {
        Slot& slot = m_slots.front();
        sendSlot(slot);
        if (!slot.complete)
            return;
        const bool closes = slot.closes;
        m_slots.pop_front();
        ++m_firstSequence;
        if (closes && m_inputEnded && m_slots.empty())
            m_closing = true;
    }
}

} // namespace pistachiospur
