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

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    NestingDepthCheck check;
    if (!nlohmann::json::sax_parse(bytes, &check, nlohmann::json::input_format_t::cbor))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::from_cbor(bytes, true, false);
}

} // namespace dotterel
