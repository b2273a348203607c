#pragma once

#include "coordination/request.h"

#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// Longest body of an answer that is recorded; of a longer one its hash and length are.
inline constexpr std::size_t MostRecordedBodyBytes = 16UL * 1024;

/// What the object API knows of an order.
enum class OrderState {
    Claimed,  ///< Its holder may run it.
    Finished, ///< It ran; the answer is recorded.
    NotRun,   ///< Its holder did not run it and never will; the key may be claimed again.
    InDoubt,  ///< It may have run and never runs again.
};

/// Returns the external name of \a state.
std::string_view orderStateName(OrderState state);

/// One claim of an order and its outcome. The nonce names the claim; it is never used again.
struct OrderRecord
{
    HostId host;
    Incarnation incarnation = 0;
    std::string nonce;
    std::string bodyHash;
    OrderState state = OrderState::Claimed;
    ServiceAnswer answer; ///< Of a finished order.
};

/// The outcome of one claim, and the version of the object that it is written over: that of the
/// claim, or the one that the write of the claim asked for.
struct OrderOutcome
{
    std::string name; ///< Of the order.
    std::uint64_t version = 0;
    OrderRecord record; ///< Not Claimed.
};

/// Returns the name under which the order of \a claim is kept: a hash of workspace and key.
std::string orderName(const OrderClaim &claim);

/// Returns \a answer as it is recorded: a body that is too long becomes a note with its hash.
ServiceAnswer recordableAnswer(const ServiceAnswer &answer);

/// Returns \a record as CBOR.
std::string encodeOrderRecord(const OrderRecord &record);

/// Reads what encodeOrderRecord() wrote.
std::optional<OrderRecord> decodeOrderRecord(std::string_view bytes);

} // namespace dotterel
