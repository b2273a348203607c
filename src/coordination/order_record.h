#pragma once

#include "coordination/request.h"

#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// Maximum size of an answer body that is recorded. Of larger bodies, only hash and size are.
inline constexpr std::size_t MaxRecordedBodyBytes = 16UL * 1024;

/// The stored state of an order.
enum class OrderState {
    Claimed,  ///< The holder of the claim may execute it.
    Finished, ///< It was executed; the answer is recorded.
    NotRun,   ///< The holder did not and will never execute it; the key may be claimed again.
    InDoubt,  ///< It may have been executed and is never executed again.
};

/// Returns the external name of \a state.
std::string_view orderStateName(OrderState state);

/// A claim of an order and its outcome. The nonce identifies the claim and is never reused.
struct OrderRecord
{
    HostId host;
    Incarnation incarnation = 0;
    std::string nonce;
    std::string bodyHash;
    OrderState state = OrderState::Claimed;
    ServiceAnswer answer; ///< Of a finished order.
};

/// The outcome of a claim, and the object version that its write expects: that of the stored claim,
/// or the one that the write of the claim expected if its result is unknown.
struct OrderOutcome
{
    std::string name; ///< Name of the order.
    std::uint64_t version = 0;
    OrderRecord record; ///< Its state is not Claimed.
};

/// Returns the name of the order of \a claim: a hash of its workspace and idempotency key.
std::string orderName(const OrderClaim &claim);

/// Returns \a answer as it is recorded: a body that is too large is replaced by a note with its
/// hash and size.
ServiceAnswer recordableAnswer(const ServiceAnswer &answer);

/// Encodes \a record as CBOR.
std::string encodeOrderRecord(const OrderRecord &record);

/// Decodes the result of encodeOrderRecord(). Returns nothing if \a bytes are malformed.
std::optional<OrderRecord> decodeOrderRecord(std::string_view bytes);

} // namespace dotterel
