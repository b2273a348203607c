#pragma once

#include "core/identity.h"
#include "gateway/engine_load.h"
#include "gateway/retry_lending.h"
#include "gateway/server_limits.h"
#include "transport/endpoint.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// State change of a prompt that its host reports to the other hosts.
enum class PromptUpdateKind : std::uint8_t {
    Dispatched = 0,
    FirstEvent = 1,
    Ended = 2,
    Unanswered = 3, ///< Ended without a response from the server.
};

/// State change of one prompt. Dispatched, FirstEvent and Unanswered set the server; the rest is
/// only set by Dispatched.
struct PromptUpdate
{
    PromptUpdateKind kind = PromptUpdateKind::Ended;
    std::uint64_t sequence = 0;
    std::uint32_t serverHash = 0;                  ///< Hash of the server id.
    std::vector<std::uint32_t> helperHashes;       ///< Hashes of the ids of the prefill helpers.
    std::vector<std::uint64_t> helperMemoryTokens; ///< Tokens that each helper holds until the end.
    PromptDemand demand;
};

/// A prompt in flight at the sending host, for a host that missed its dispatch.
struct RunningPrompt
{
    PromptUpdate dispatch;           ///< As sent when the prompt was dispatched.
    Duration age = Duration::zero(); ///< Time since the dispatch.
    /// Estimated prefill that remains; zero if the first event has arrived.
    Duration prefillLeft = Duration::zero();
};

/// News that a backend server announced to the sending host that it leaves.
struct ServerLeavingNotice
{
    std::uint32_t serverHash = 0;  ///< Hash of the server id.
    std::uint64_t incarnation = 0; ///< Of the server; another one is not leaving.
};

/// State changes of a host's prompts since its last batch. Sent as one datagram to each other
/// host; the effect of a lost datagram ends when the prompts expire.
struct PromptUpdateBatch
{
    std::uint32_t senderHash = 0; ///< Hash of the sending host's id and incarnation.
    std::vector<PromptUpdate> updates;
    /// Set by a host that just started: where it receives batches. It knows no prompts in flight
    /// and asks for them. Hosts of earlier versions ignore it.
    std::optional<Endpoint> joinedAt;
    /// Servers that leave. Hosts of earlier versions ignore it.
    std::vector<ServerLeavingNotice> leavingServers;
    /// Servers that name limits. Hosts of earlier versions ignore it.
    std::vector<ServerLimitNotice> limits;
    /// Servers that warm up. Hosts of earlier versions ignore it.
    std::vector<ServerWarmUpNotice> warmUps;
    /// Hashes of the names of the pools of which the sender reaches no server. Hosts of earlier
    /// versions ignore it.
    std::vector<std::uint32_t> poolsOutOfReach;
    /// Hashes of the ids of servers that work although a host reported them as silent. Hosts of
    /// earlier versions ignore it.
    std::vector<std::uint32_t> workingServers;
    /// Asks for parts of the receiver's retry budget, and loans of the sender's, for the receiver
    /// only. Hosts of earlier versions ignore both.
    std::vector<RetryAsk> retryAsks;
    std::vector<RetryLoan> retryLoans;
    std::vector<RunningPrompt> running; ///< Reply to joinedAt, a part of the sender's prompts.
};

/// Returns the hash that identifies one incarnation of a host as a sender of prompt updates.
std::uint32_t promptSenderHash(const HostIdentity &identity);

/// Returns \a batch as CBOR.
std::string encodePromptUpdates(const PromptUpdateBatch &batch);

/// Returns a datagram that asks its receiver to pass \a batch, an encoded batch, on to the other
/// hosts of its failure domain.
std::string wrapForForwarding(std::string_view batch);

/// Returns the batch in the output of wrapForForwarding(); nullopt if \a bytes are anything else.
std::optional<std::string> unwrapForwarded(std::string_view bytes);

/// Decodes the output of encodePromptUpdates(). The error describes why \a bytes are invalid.
tl::expected<PromptUpdateBatch, std::string> decodePromptUpdates(std::string_view bytes);

} // namespace dotterel
