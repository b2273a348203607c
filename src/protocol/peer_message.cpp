#include "protocol/peer_message.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

// One-letter keys keep heartbeats small.
constexpr const char *TypeKey = "t";
constexpr const char *HeartbeatType = "h";
constexpr const char *RequestType = "r";
constexpr const char *OfferType = "o";
constexpr const char *OutcomeType = "u";

nlohmann::json encodeIdentity(const HostIdentity &identity)
{
    return nlohmann::json::array({identity.host, identity.incarnation, identity.failureDomain});
}

HostIdentity decodeIdentity(const nlohmann::json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<Incarnation>(),
            json.at(2).get<std::string>()};
}

nlohmann::json encode(const Heartbeat &heartbeat)
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberRecord &member : heartbeat.members) {
        members.push_back({encodeIdentity(member.identity), member.heartbeat,
                           member.configurationVersion, member.leaving});
    }
    return {{TypeKey, HeartbeatType},
            {"s", encodeIdentity(heartbeat.sender)},
            {"m", members},
            {"d", heartbeat.draining}};
}

nlohmann::json encode(const ConfigurationRequest &request)
{
    return {{TypeKey, RequestType}, {"v", request.knownVersion}};
}

nlohmann::json encode(const ConfigurationOffer &offer)
{
    return {{TypeKey, OfferType}, {"v", offer.version}, {"c", offer.text}};
}

nlohmann::json encode(const OrderOutcomeOffer &offer)
{
    const std::vector<std::uint8_t> record(offer.record.begin(), offer.record.end());
    return {{TypeKey, OutcomeType},
            {"n", offer.name},
            {"v", offer.version},
            {"r", nlohmann::json::binary(record)}};
}

OrderOutcomeOffer decodeOutcome(const nlohmann::json &json)
{
    const nlohmann::json::binary_t &record = json.at("r").get_binary();
    return {json.at("n").get<std::string>(), json.at("v").get<std::uint64_t>(),
            std::string(record.begin(), record.end())};
}

Heartbeat decodeHeartbeat(const nlohmann::json &json)
{
    Heartbeat heartbeat;
    heartbeat.sender = decodeIdentity(json.at("s"));
    for (const nlohmann::json &item : json.at("m")) {
        heartbeat.members.push_back({decodeIdentity(item.at(0)), item.at(1).get<std::uint64_t>(),
                                     item.at(2).get<std::uint64_t>(), item.at(3).get<bool>()});
    }
    heartbeat.draining = json.at("d").get<std::vector<ServerId>>();
    return heartbeat;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    const nlohmann::json json =
            std::visit([](const auto &alternative) { return encode(alternative); }, message);
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

tl::expected<PeerMessage, std::string> decodePeerMessage(std::string_view bytes)
{
    const nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
    if (!json.is_object())
        return tl::unexpected(std::string("the frame is not a CBOR map"));
    try {
        const std::string type = json.at(TypeKey).get<std::string>();
        if (type == HeartbeatType)
            return decodeHeartbeat(json);
        if (type == RequestType)
            return ConfigurationRequest{json.at("v").get<std::uint64_t>()};
        if (type == OfferType)
            return ConfigurationOffer{json.at("v").get<std::uint64_t>(),
                                      json.at("c").get<std::string>()};
        if (type == OutcomeType)
            return decodeOutcome(json);
        return tl::unexpected("unknown message type \"" + type + "\"");
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
