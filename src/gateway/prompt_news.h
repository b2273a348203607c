#pragma once

#include "core/identity.h"
#include "gateway/engine_load.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// State change of a prompt that its host reports to the other hosts.
enum class PromptStep : std::uint8_t {
    Dispatched = 0,
    FirstEvent = 1,
    Ended = 2,
    Unanswered = 3, ///< It ended and the server had sent no response.
};

/// Report of one state change of a prompt. The server is set by all but Ended, the members after it
/// only by Dispatched.
struct PromptNewsItem
{
    PromptStep step = PromptStep::Ended;
    std::uint64_t sequence = 0;
    std::uint32_t server = 0;                ///< Hash of the server id.
    std::vector<std::uint32_t> helpers;      ///< Hashes of the ids of the prefill helpers.
    std::vector<std::uint64_t> helperMemory; ///< Tokens that each helper holds until the end.
    PromptDemand demand;
};

/// State changes of a host's prompts since its last datagram, sent as one datagram to each other
/// host. If a datagram is lost, the receiver's view is corrected when the affected prompts expire.
struct PromptNews
{
    std::uint32_t sender = 0; ///< Hash of the sending host's id and incarnation.
    std::vector<PromptNewsItem> items;
};

/// Returns the number that identifies one incarnation of a host as a sender.
std::uint32_t promptSender(const HostIdentity &identity);

/// Returns \a news as CBOR.
std::string encodePromptNews(const PromptNews &news);

/// Decodes what encodePromptNews() wrote. The error describes why \a bytes are invalid.
tl::expected<PromptNews, std::string> decodePromptNews(std::string_view bytes);

} // namespace dotterel
