#include "protocol/cbor.h"

#include <cstdint>
#include <string>

namespace dotterel {

namespace {

/// Rejects malformed and deeply nested input without building values. The parser that builds them
/// recurses at each level, and throws at once if a container declares more elements than it can
/// hold.
class NestingDepthCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(std::int64_t /*value*/) override { return true; }
    bool number_unsigned(std::uint64_t /*value*/) override { return true; }
    bool number_float(double /*value*/, const std::string & /*text*/) override { return true; }
    bool string(std::string & /*value*/) override { return true; }
    bool binary(binary_t & /*value*/) override { return true; }
    bool key(std::string & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return ++this->depth <= MaxNestingDepth; }
    bool start_array(std::size_t /*size*/) override { return ++this->depth <= MaxNestingDepth; }
    bool end_object() override { return this->leaveContainer(); }
    bool end_array() override { return this->leaveContainer(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    static constexpr int MaxNestingDepth = 8;

    bool leaveContainer()
    {
        --this->depth;
        return true;
    }

    int depth = 0;
};

/// Returns false if \a bytes hold a string of indefinite length, or end within an item. The parser
/// recurses into each chunk of such a string, which NestingDepthCheck does not learn. Hosts send
/// none. Items follow each other, containers and their elements too, so no stack is needed.
bool hasDefiniteStrings(std::string_view bytes)
{
    constexpr unsigned ByteString = 2;
    constexpr unsigned TextString = 3;
    constexpr unsigned MaxImmediate = 23;
    constexpr unsigned EightBytes = 27;
    constexpr unsigned Indefinite = 31;
    while (!bytes.empty()) {
        const auto initial = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        const unsigned type = initial >> 5U;
        const unsigned info = initial & 0x1fU;
        const bool isString = type == ByteString || type == TextString;
        if (info == Indefinite && isString)
            return false;
        std::uint64_t argument = info;
        if (info > MaxImmediate && info <= EightBytes) {
            const std::size_t argumentBytes = std::size_t{1} << (info - MaxImmediate - 1);
            if (bytes.size() < argumentBytes)
                return false;
            argument = 0;
            for (const char byte : bytes.substr(0, argumentBytes))
                argument = argument << 8U | static_cast<unsigned char>(byte);
            bytes.remove_prefix(argumentBytes);
        }
        if (!isString)
            continue;
        if (argument > bytes.size())
            return false;
        bytes.remove_prefix(argument);
    }
    return true;
}

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    NestingDepthCheck check;
    if (!hasDefiniteStrings(bytes)
        || !nlohmann::json::sax_parse(bytes, &check, nlohmann::json::input_format_t::cbor))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::from_cbor(bytes, true, false);
}

} // namespace dotterel
