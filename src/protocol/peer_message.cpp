#include "protocol/peer_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

// One-letter keys keep heartbeats small.
constexpr const char *TypeKey = "t";
constexpr const char *HeartbeatType = "h";
constexpr const char *RequestType = "r";
constexpr const char *OfferType = "o";
constexpr const char *OutcomeType = "u";
constexpr const char *ChunkRequestType = "k";
constexpr const char *ChunkType = "b";
constexpr const char *CrashType = "c";
constexpr const char *NewsType = "n";

constexpr std::size_t MostFingerprintBytes = 64;
constexpr std::size_t MostCrashes = 8;

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

nlohmann::json encode(const ConfigurationChunkRequest &request)
{
    return {{TypeKey, ChunkRequestType}, {"n", request.names}};
}

nlohmann::json encode(const ConfigurationChunkOffer &offer)
{
    return {{TypeKey, ChunkType}, {"n", offer.name}, {"c", offer.text}};
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

nlohmann::json encode(const CrashNotice &notice)
{
    nlohmann::json crashes = nlohmann::json::array();
    for (const CrashRecord &crash : notice.crashes)
        crashes.push_back({crash.server, crash.age.count()});
    nlohmann::json json = {
            {TypeKey, CrashType}, {"f", notice.fingerprint}, {"c", crashes}, {"r", notice.runsOn}};
    if (notice.cleared)
        json["x"] = notice.cleared->count();
    return json;
}

Duration decodeAge(const nlohmann::json &json)
{
    return Duration(std::max<Duration::rep>(0, json.get<Duration::rep>()));
}

CrashNotice decodeCrashNotice(const nlohmann::json &json)
{
    CrashNotice notice;
    notice.fingerprint = json.at("f").get<std::string>();
    if (notice.fingerprint.size() > MostFingerprintBytes || json.at("c").size() > MostCrashes)
        throw nlohmann::json::other_error::create(0, "the notice is too long", &json);
    for (const nlohmann::json &item : json.at("c"))
        notice.crashes.push_back({item.at(0).get<ServerId>(), decodeAge(item.at(1))});
    if (json.contains("x"))
        notice.cleared = decodeAge(json.at("x"));
    notice.runsOn = json.at("r").get<ServerId>();
    return notice;
}

nlohmann::json encode(const DispatchNews &news)
{
    nlohmann::json events = nlohmann::json::array();
    for (const DispatchEvent &event : news.events) {
        nlohmann::json row = {static_cast<int>(event.kind), event.sequence};
        if (event.kind == DispatchEventKind::Dispatched) {
            row.push_back(event.server);
            row.push_back(event.promptTokens);
            row.push_back(event.priority);
            row.push_back(event.workspace);
            if (event.contextTokens > 0)
                row.push_back(event.contextTokens);
        }
        events.push_back(std::move(row));
    }
    return {{TypeKey, NewsType}, {"s", news.sender}, {"e", events}};
}

DispatchNews decodeNews(const nlohmann::json &json)
{
    DispatchNews news;
    news.sender = json.at("s").get<std::uint32_t>();
    for (const nlohmann::json &row : json.at("e")) {
        DispatchEvent event;
        const int kind = std::clamp(row.at(0).get<int>(), 0, 2);
        event.kind = static_cast<DispatchEventKind>(kind);
        event.sequence = row.at(1).get<std::uint64_t>();
        if (event.kind == DispatchEventKind::Dispatched) {
            event.server = row.at(2).get<std::uint32_t>();
            event.promptTokens = row.at(3).get<std::uint64_t>();
            event.priority = row.at(4).get<std::int64_t>();
            event.workspace = row.at(5).get<std::uint32_t>();
            event.contextTokens = row.size() > 6 ? row.at(6).get<std::uint64_t>() : 0;
        }
        news.events.push_back(event);
    }
    return news;
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
        if (type == ChunkRequestType)
            return ConfigurationChunkRequest{json.at("n").get<std::vector<std::string>>()};
        if (type == ChunkType)
            return ConfigurationChunkOffer{json.at("n").get<std::string>(),
                                           json.at("c").get<std::string>()};
        if (type == OutcomeType)
            return decodeOutcome(json);
        if (type == CrashType)
            return decodeCrashNotice(json);
        if (type == NewsType)
            return decodeNews(json);
        return tl::unexpected("unknown message type \"" + type + "\"");
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
