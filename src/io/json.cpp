#include "json.h"

#include <vector>

namespace pistachiospur {

namespace {

using Json = nlohmann::json;

// Builds a document from the events of the parser, which does not recurse over JSON texts.
class DocumentBuilder final : public nlohmann::json_sax<Json> {
public:
    Json document;
    std::size_t faultAt = 0;

    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t&) override { return add(value); }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(Json::binary(std::move(value))); }
    bool start_object(std::size_t) override { return open(Json::object()); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(Json::array()); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        if (m_levelsLeftOut == 0)
            m_key = std::move(name);
        return true;
    }

    bool parse_error(std::size_t position, const std::string&, const nlohmann::detail::exception&) override
    {
        faultAt = position;
        return false;
    }

private:
    bool add(Json value)
    {
        if (m_levelsLeftOut == 0)
            place(std::move(value));
        return true;
    }

    Json* place(Json value)
    {
        if (m_open.empty())
            return &(document = std::move(value));
        Json& container = *m_open.back();
        if (container.is_object())
            return &(container[m_key] = std::move(value));
        container.push_back(std::move(value));
        return &container.back();
    }

    bool open(Json container)
    {
        if (m_open.size() == kMaxNesting || m_levelsLeftOut > 0)
            ++m_levelsLeftOut;
        else
            m_open.push_back(place(std::move(container)));
        return true;
    }

    bool close()
    {
        if (m_levelsLeftOut > 0)
            --m_levelsLeftOut;
        else
            m_open.pop_back();
        return true;
    }

    std::vector<Json*> m_open; // the containers that have not ended, outermost first
    std::string m_key; // of the next value in an object
    std::size_t m_levelsLeftOut = 0; // containers that have not ended and are nested too deeply
};

constexpr unsigned kCborBytes = 2, kCborText = 3, kCborArray = 4, kCborMap = 5, kCborTag = 6;
constexpr unsigned kFirstWideLength = 24, kLastWideLength = 27; // lengths of 1, 2, 4 and 8 bytes follow

// Reads the first byte of a CBOR item and the number that belongs to it; `at` moves behind them. Nothing if the bytes
// end before, or the item has no number.
std::optional<std::uint64_t> readCborNumber(const std::string& bytes, std::size_t& at, unsigned& kind)
{
    const auto first = static_cast<unsigned char>(bytes[at++]);
    kind = first >> 5;
    const unsigned info = first & 31;
    if (info < kFirstWideLength)
        return info;
    const std::size_t width = std::size_t(1) << (info - kFirstWideLength);
    if (info > kLastWideLength || bytes.size() - at < width)
        return std::nullopt;
    std::uint64_t number = 0;
    for (const std::size_t end = at + width; at < end; ++at)
        number = number << 8 | static_cast<unsigned char>(bytes[at]);
    return number;
}

// Whether the bytes are one whole CBOR item that the library decodes with bounded recursion.
bool isBoundedCbor(const std::string& bytes)
{
    std::vector<std::uint64_t> itemsLeft; // in each container that has not ended, outermost first
    std::size_t at = 0;
    do {
        if (at == bytes.size())
            return false;
        unsigned kind = 0;
        const auto number = readCborNumber(bytes, at, kind);
        if (!number || kind == kCborTag)
            return false;
        if (!itemsLeft.empty())
            --itemsLeft.back();
        const bool hasContent = kind == kCborBytes || kind == kCborText || kind == kCborArray || kind == kCborMap;
        if (hasContent && *number > bytes.size() - at) // each item of a container takes a byte or more
            return false;
        if (kind == kCborBytes || kind == kCborText)
            at += *number;
        if (kind == kCborArray || kind == kCborMap) {
            if (itemsLeft.size() == kMaxNesting)
                return false;
            itemsLeft.push_back(kind == kCborMap ? 2 * *number : *number);
        }
        while (!itemsLeft.empty() && itemsLeft.back() == 0)
            itemsLeft.pop_back();
    } while (!itemsLeft.empty());
    return at == bytes.size();
}

} // namespace

Json parseJson(const std::string& text, std::size_t* faultAt)
{
    DocumentBuilder builder;
    if (Json::sax_parse(text, &builder))
        return std::move(builder.document);
    if (faultAt)
        *faultAt = builder.faultAt;
    return Json(Json::value_t::discarded);
}

Json parseCbor(const std::string& bytes)
{
    return isBoundedCbor(bytes) ? Json::from_cbor(bytes, true, false) : Json(Json::value_t::discarded);
}

} // namespace pistachiospur
