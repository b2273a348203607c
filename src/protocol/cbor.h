#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace dotterel {

/// Parses CBOR that comes from another process. Returns a discarded value if \a bytes are malformed
/// or nested more than eight levels deep; never throws.
nlohmann::json parseCbor(std::string_view bytes);

} // namespace dotterel
