#include "coordination/order_ledger.h"

#include "core/enum_names.h"
#include "core/hashing.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace dotterel {

namespace {

enum class OrderState {
    Claimed,
    Finished,
    NotRun,
};

constexpr std::array<EnumName<OrderState>, 3> OrderStateNames = {{
        {OrderState::Claimed, "claimed"},
        {OrderState::Finished, "finished"},
        {OrderState::NotRun, "not_run"},
}};

std::string keyOf(const OrderClaim &claim)
{
    return "orders/" + hash128Hex(claim.workspace + '\0' + claim.idempotencyKey);
}

} // namespace

struct OrderLedger::Record
{
    std::string host;
    Incarnation incarnation = 0;
    std::string nonce;
    std::string bodyHash;
    OrderState state = OrderState::Claimed;
    ServiceAnswer answer;

    std::string encode() const
    {
        const nlohmann::json json = {{"host", this->host},
                                     {"incarnation", this->incarnation},
                                     {"nonce", this->nonce},
                                     {"bodyHash", this->bodyHash},
                                     {"state", enumName(OrderStateNames, this->state)},
                                     {"status", this->answer.status},
                                     {"contentType", this->answer.contentType},
                                     {"body", this->answer.body}};
        return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    static std::optional<Record> decode(const std::string &text)
    {
        const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object())
            return std::nullopt;
        try {
            Record record;
            record.host = json.at("host").get<std::string>();
            record.incarnation = json.at("incarnation").get<Incarnation>();
            record.nonce = json.at("nonce").get<std::string>();
            record.bodyHash = json.at("bodyHash").get<std::string>();
            record.state = enumValue(OrderStateNames, json.at("state").get<std::string>())
                                   .value_or(OrderState::Claimed);
            record.answer.status = json.at("status").get<int>();
            record.answer.contentType = json.at("contentType").get<std::string>();
            record.answer.body = json.at("body").get<std::string>();
            return record;
        } catch (const nlohmann::json::exception &) {
            return std::nullopt;
        }
    }
};

OrderLedger::OrderLedger(HostIdentity identity, ObjectStore &store, RandomSource &random,
                         EventLog &log)
    : identity(std::move(identity))
    , store(store)
    , random(random)
    , log(log)
{}

void OrderLedger::claim(const OrderClaim &claim, const ClaimCallback &callback)
{
    Record record;
    record.host = this->identity.host;
    record.incarnation = this->identity.incarnation;
    record.nonce = toHex(this->random.next()) + toHex(this->random.next());
    record.bodyHash = claim.bodyHash;
    this->write(claim, record, 0, callback);
}

void OrderLedger::recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer)
{
    Record record;
    record.host = this->identity.host;
    record.incarnation = this->identity.incarnation;
    record.bodyHash = claim.bodyHash;
    record.state = OrderState::Finished;
    record.answer = answer;
    this->finish(claim, record);
}

void OrderLedger::release(const OrderClaim &claim)
{
    Record record;
    record.host = this->identity.host;
    record.incarnation = this->identity.incarnation;
    record.bodyHash = claim.bodyHash;
    record.state = OrderState::NotRun;
    this->finish(claim, record);
}

void OrderLedger::write(const OrderClaim &claim, const Record &record,
                        std::uint64_t expectedVersion, const ClaimCallback &callback)
{
    ++this->pendingCalls;
    const std::string nonce = record.nonce;
    this->store.write(
            keyOf(claim), record.encode(), expectedVersion,
            [this, claim, nonce, callback](const ObjectStore::WriteResult &result, TimePoint now) {
                --this->pendingCalls;
                if (result) {
                    callback({ClaimResult::Claimed, {}}, now);
                } else if (result.error() == StoreError::Conflict
                           || result.error() == StoreError::UnknownOutcome) {
                    this->readBack(claim, nonce, callback);
                } else {
                    callback({ClaimResult::Unavailable, {}}, now);
                }
            });
}

void OrderLedger::readBack(const OrderClaim &claim, const std::string &nonce,
                           const ClaimCallback &callback)
{
    ++this->pendingCalls;
    this->store.read(keyOf(claim), [this, claim, nonce, callback](
                                           const ObjectStore::ReadResult &result, TimePoint now) {
        --this->pendingCalls;
        if (result)
            this->settle(claim, *result, nonce, callback, now);
        else
            callback({ClaimResult::Unavailable, {}}, now);
    });
}

void OrderLedger::settle(const OrderClaim &claim, const StoredObject &object,
                         const std::string &nonce, const ClaimCallback &callback, TimePoint now)
{
    const std::optional<Record> found = Record::decode(object.value);
    if (!found) {
        callback({ClaimResult::OutcomeUnknown, {}}, now);
        return;
    }
    if (found->nonce == nonce) {
        callback({ClaimResult::Claimed, {}}, now);
        return;
    }
    if (found->bodyHash != claim.bodyHash) {
        callback({ClaimResult::BodyMismatch, {}}, now);
        return;
    }
    switch (found->state) {
    case OrderState::Finished:
        callback({ClaimResult::AlreadyFinished, found->answer}, now);
        return;
    case OrderState::Claimed:
        callback({ClaimResult::InProgress, {}}, now);
        return;
    case OrderState::NotRun:
        break;
    }
    Record record;
    record.host = this->identity.host;
    record.incarnation = this->identity.incarnation;
    record.nonce = nonce;
    record.bodyHash = claim.bodyHash;
    this->write(claim, record, object.version, callback);
}

void OrderLedger::finish(const OrderClaim &claim, const Record &record)
{
    ++this->pendingCalls;
    const std::string key = keyOf(claim);
    this->store.read(key, [this, key, record, claim](const ObjectStore::ReadResult &result,
                                                     TimePoint) {
        --this->pendingCalls;
        if (!result)
            return;
        ++this->pendingCalls;
        this->store.write(
                key, record.encode(), result->version,
                [this, claim](const ObjectStore::WriteResult &, TimePoint) {
                    --this->pendingCalls;
                    this->log.write(Event::OrderOutcomeRecorded, {{"request", claim.request}});
                });
    });
}

} // namespace dotterel
