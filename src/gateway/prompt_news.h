#pragma once

#include "core/identity.h"
#include "gateway/engine_load.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// What a host tells of one of its prompts.
enum class PromptStep : std::uint8_t {
    Dispatched = 0,
    FirstEvent = 1,
    Ended = 2,
    Unanswered = 3, ///< It ended without a word from the server.
};

/// One step of a prompt. FirstEvent and Unanswered name the server too; the other members are only
/// set by Dispatched.
struct PromptNewsItem
{
    PromptStep step = PromptStep::Ended;
    std::uint64_t sequence = 0;
    std::uint32_t server = 0;                ///< Hash of its id.
    std::vector<std::uint32_t> helpers;      ///< Hashes of the ids of those that read parts.
    std::vector<std::uint64_t> helperMemory; ///< Tokens that each of them holds until the end.
    PromptDemand demand;
};

/// What a host dispatched and finished since its last news. Sent as one datagram to each other
/// host; a lost one is corrected when the prompts' expiry passes.
struct PromptNews
{
    std::uint32_t sender = 0; ///< Hash of the host's name and incarnation.
    std::vector<PromptNewsItem> items;
};

/// Returns the number by which a life of a host names itself in its news.
std::uint32_t promptSender(const HostIdentity &identity);

/// Returns \a news as CBOR.
std::string encodePromptNews(const PromptNews &news);

/// Reads what encodePromptNews() wrote; the error says what was wrong.
tl::expected<PromptNews, std::string> decodePromptNews(std::string_view bytes);

} // namespace dotterel
