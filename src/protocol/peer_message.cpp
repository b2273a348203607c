#include "protocol/peer_message.h"

#include "core/enum_names.h"
#include "core/json_input.h"
#include "protocol/cbor.h"
#include "protocol/crash_notice_codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

// One-letter keys and types keep heartbeats small.
constexpr const char *TypeKey = "t";
constexpr const char *HeartbeatType = "h";
constexpr const char *ConfigurationRequestType = "r";
constexpr const char *ConfigurationOfferType = "o";
constexpr const char *OrderOutcomeOfferType = "q";
constexpr const char *LoadUpdateType = "l";
constexpr const char *MemberDigestType = "g";
constexpr const char *MemberUpdateType = "u";
constexpr const char *ConfigurationChunkRequestType = "k";
constexpr const char *ConfigurationChunkOfferType = "b";
constexpr const char *CrashNoticeType = "c";
constexpr const char *DispatchUpdateType = "n";
constexpr const char *ObjectAnnouncementType = "a";
constexpr const char *ObjectRequestType = "w";
constexpr const char *ObjectOfferType = "f";

/// Flag that shares one byte on the wire with the state of a member.
constexpr unsigned LeavingFlag = 8;
constexpr std::size_t MaxNameBytes = 255;
constexpr std::size_t MaxListItems = 2'000;
constexpr std::size_t MaxBuckets = 64;

constexpr std::array<EnumName<MemberState>, 4> MemberStateNames = {{
        {MemberState::Alive, "alive"},
        {MemberState::Suspected, "suspected"},
        {MemberState::Dead, "dead"},
        {MemberState::Left, "left"},
}};

std::string decodeName(const nlohmann::json &json)
{
    std::string name = json.get<std::string>();
    if (!isMemberName(name))
        throw nlohmann::json::other_error::create(
                501, "name is empty, too long or not printable ASCII without spaces", &json);
    return name;
}

nlohmann::json encodeMemberRecord(const MemberRecord &record)
{
    const unsigned flags =
            static_cast<unsigned>(record.state) | (record.leaving ? LeavingFlag : 0U);
    return nlohmann::json::array(
            {record.identity.host, record.identity.incarnation, record.identity.failureDomain,
             record.peerEndpoint.address, record.peerEndpoint.port, record.refutationCounter, flags,
             record.configurationVersion, record.relayPort, record.forwardsUpdates});
}

MemberRecord decodeMemberRecord(const nlohmann::json &json)
{
    MemberRecord record;
    record.identity = {decodeName(json.at(0)), toUnsigned<Incarnation>(json.at(1)),
                       decodeName(json.at(2))};
    record.peerEndpoint = {decodeName(json.at(3)), toUnsigned<std::uint16_t>(json.at(4))};
    record.refutationCounter = toUnsigned<std::uint64_t>(json.at(5));
    const unsigned flags = toUnsigned<unsigned>(json.at(6));
    if (flags >= 2 * LeavingFlag || (flags & (LeavingFlag - 1)) >= MemberStateNames.size())
        throw nlohmann::json::other_error::create(501, "unknown member state or flag", &json);
    record.state = static_cast<MemberState>(flags & (LeavingFlag - 1));
    record.leaving = (flags & LeavingFlag) != 0;
    record.configurationVersion = toUnsigned<std::uint64_t>(json.at(7));
    // Members of earlier versions take over no requests and pass on no updates.
    constexpr std::size_t RelayPortColumn = 8;
    constexpr std::size_t ForwardsUpdatesColumn = 9;
    if (json.size() > RelayPortColumn)
        record.relayPort = toUnsigned<std::uint16_t>(json.at(RelayPortColumn));
    if (json.size() > ForwardsUpdatesColumn)
        record.forwardsUpdates = json.at(ForwardsUpdatesColumn).get<bool>();
    return record;
}

nlohmann::json encodeServerNotice(const ServerDrainNotice &notice)
{
    return nlohmann::json::array(
            {notice.server, notice.sequence, notice.draining, notice.fromPlatformList});
}

ServerDrainNotice decodeServerNotice(const nlohmann::json &json)
{
    return {decodeName(json.at(0)), toUnsigned<std::uint64_t>(json.at(1)), json.at(2).get<bool>(),
            json.at(3).get<bool>()};
}

template <typename Item, typename Encoder>
nlohmann::json encodeList(const std::vector<Item> &items, Encoder encoder)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Item &item : items)
        list.push_back(encoder(item));
    return list;
}

/// Decodes the list at \a key; a missing key gives an empty list.
template <typename Item, typename Decoder>
std::vector<Item> decodeList(const nlohmann::json &json, const char *key, Decoder decoder)
{
    std::vector<Item> items;
    if (!json.contains(key))
        return items;
    const nlohmann::json &list = json.at(key);
    if (!list.is_array() || list.size() > MaxListItems)
        throw nlohmann::json::other_error::create(501, "not a list, or too many items", &json);
    for (const nlohmann::json &item : list)
        items.push_back(decoder(item));
    return items;
}

nlohmann::json encode(const Heartbeat &heartbeat)
{
    nlohmann::json json = {{TypeKey, HeartbeatType},
                           {"s", encodeMemberRecord(heartbeat.sender)},
                           {"g", heartbeat.digest}};
    if (!heartbeat.changedRecords.empty())
        json["m"] = encodeList(heartbeat.changedRecords, encodeMemberRecord);
    if (!heartbeat.notices.empty())
        json["n"] = encodeList(heartbeat.notices, encodeServerNotice);
    if (heartbeat.closesLink)
        json["x"] = true;
    return json;
}

nlohmann::json encode(const MemberDigest &digest)
{
    return {{TypeKey, MemberDigestType}, {"b", digest.bucketDigests}};
}

nlohmann::json encode(const MemberUpdate &update)
{
    return {{TypeKey, MemberUpdateType},
            {"m", encodeList(update.members, encodeMemberRecord)},
            {"n", encodeList(update.notices, encodeServerNotice)},
            {"b", update.bucketDigests}};
}

nlohmann::json encode(const ConfigurationRequest &request)
{
    return {{TypeKey, ConfigurationRequestType}, {"v", request.knownVersion}};
}

nlohmann::json encode(const ConfigurationOffer &offer)
{
    return {{TypeKey, ConfigurationOfferType}, {"v", offer.version}, {"c", offer.text}};
}

nlohmann::json encode(const ConfigurationChunkRequest &request)
{
    return {{TypeKey, ConfigurationChunkRequestType}, {"n", request.names}};
}

nlohmann::json encode(const ConfigurationChunkOffer &offer)
{
    return {{TypeKey, ConfigurationChunkOfferType}, {"n", offer.name}, {"c", offer.text}};
}

nlohmann::json encode(const OrderOutcomeOffer &offer)
{
    const std::vector<std::uint8_t> record(offer.record.begin(), offer.record.end());
    return {{TypeKey, OrderOutcomeOfferType},
            {"n", offer.name},
            {"v", offer.version},
            {"r", nlohmann::json::binary(record)}};
}

OrderOutcomeOffer decodeOrderOutcome(const nlohmann::json &json)
{
    const nlohmann::json::binary_t &record = json.at("r").get_binary();
    return {json.at("n").get<std::string>(), toUnsigned<std::uint64_t>(json.at("v")),
            std::string(record.begin(), record.end())};
}

nlohmann::json encode(const CrashNotice &notice)
{
    nlohmann::json json = encodeCrashNotice(notice);
    json[TypeKey] = CrashNoticeType;
    return json;
}

nlohmann::json encode(const DispatchUpdate &update)
{
    nlohmann::json events = nlohmann::json::array();
    for (const DispatchEvent &event : update.events) {
        nlohmann::json row = {static_cast<int>(event.kind), event.sequence};
        if (event.kind == DispatchEventKind::Dispatched) {
            row.push_back(event.serverHash);
            row.push_back(event.promptTokens);
            row.push_back(event.priority);
            row.push_back(event.workspaceHash);
            if (event.contextTokens > 0)
                row.push_back(event.contextTokens);
        }
        events.push_back(std::move(row));
    }
    return {{TypeKey, DispatchUpdateType}, {"s", update.senderHash}, {"e", events}};
}

nlohmann::json encode(const LoadUpdate &update)
{
    nlohmann::json loads = nlohmann::json::array();
    for (const ServerLoad &load : update.loads)
        loads.push_back({load.serverHash, load.queuedTokens, load.queuedByBand});
    return {{TypeKey, LoadUpdateType}, {"l", loads}};
}

LoadUpdate decodeLoadUpdate(const nlohmann::json &json)
{
    LoadUpdate update;
    for (const nlohmann::json &row : json.at("l")) {
        update.loads.push_back({toUnsigned<std::uint32_t>(row.at(0)),
                                toUnsigned<std::uint64_t>(row.at(1)),
                                row.at(2).get<std::vector<std::uint64_t>>()});
    }
    return update;
}

nlohmann::json encode(const ObjectAnnouncement &announcement)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const AnnouncedObject &object : announcement.objects)
        rows.push_back(nlohmann::json::array(
                {object.name, object.revision, object.removed, object.era, object.version}));
    return {{TypeKey, ObjectAnnouncementType}, {"k", announcement.collection}, {"o", rows}};
}

nlohmann::json encode(const ObjectRequest &request)
{
    return {{TypeKey, ObjectRequestType}, {"k", request.collection}, {"n", request.names}};
}

nlohmann::json encode(const ObjectOffer &offer)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const OfferedObject &object : offer.objects)
        rows.push_back(nlohmann::json::array({object.name, object.revision, object.removed,
                                              object.text, object.era, object.version}));
    return {{TypeKey, ObjectOfferType}, {"k", offer.collection}, {"o", rows}};
}

/// Decodes a column that hosts of earlier versions do not send.
std::uint64_t decodeOptionalUnsigned(const nlohmann::json &row, std::size_t column)
{
    return column < row.size() ? toUnsigned<std::uint64_t>(row.at(column)) : 0;
}

ObjectAnnouncement decodeObjectAnnouncement(const nlohmann::json &json)
{
    ObjectAnnouncement announcement;
    announcement.collection = toUnsigned<std::uint8_t>(json.at("k"));
    for (const nlohmann::json &row : json.at("o"))
        announcement.objects.push_back({row.at(0).get<std::string>(),
                                        toUnsigned<std::uint64_t>(row.at(1)), row.at(2).get<bool>(),
                                        decodeOptionalUnsigned(row, 3),
                                        decodeOptionalUnsigned(row, 4)});
    return announcement;
}

ObjectOffer decodeObjectOffer(const nlohmann::json &json)
{
    ObjectOffer offer;
    offer.collection = toUnsigned<std::uint8_t>(json.at("k"));
    for (const nlohmann::json &row : json.at("o"))
        offer.objects.push_back({row.at(0).get<std::string>(), toUnsigned<std::uint64_t>(row.at(1)),
                                 row.at(2).get<bool>(), row.at(3).get<std::string>(),
                                 decodeOptionalUnsigned(row, 4), decodeOptionalUnsigned(row, 5)});
    return offer;
}

DispatchUpdate decodeDispatchUpdate(const nlohmann::json &json)
{
    DispatchUpdate update;
    update.senderHash = toUnsigned<std::uint32_t>(json.at("s"));
    for (const nlohmann::json &row : json.at("e")) {
        DispatchEvent event;
        const int kind = std::clamp(row.at(0).get<int>(), 0, 2);
        event.kind = static_cast<DispatchEventKind>(kind);
        event.sequence = toUnsigned<std::uint64_t>(row.at(1));
        if (event.kind == DispatchEventKind::Dispatched) {
            event.serverHash = toUnsigned<std::uint32_t>(row.at(2));
            event.promptTokens = toUnsigned<std::uint64_t>(row.at(3));
            event.priority = row.at(4).get<std::int64_t>();
            event.workspaceHash = toUnsigned<std::uint32_t>(row.at(5));
            event.contextTokens = row.size() > 6 ? toUnsigned<std::uint64_t>(row.at(6)) : 0;
        }
        update.events.push_back(event);
    }
    return update;
}

/// Decodes the records at the key "m". Members without an IPv4 address cannot be linked; hosts of
/// earlier versions pass such records on.
std::vector<MemberRecord> decodeMembers(const nlohmann::json &json)
{
    std::vector<MemberRecord> members = decodeList<MemberRecord>(json, "m", decodeMemberRecord);
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [](const MemberRecord &member) {
                                     return !isIpv4Address(member.peerEndpoint.address);
                                 }),
                  members.end());
    return members;
}

Heartbeat decodeHeartbeat(const nlohmann::json &json)
{
    Heartbeat heartbeat;
    heartbeat.sender = decodeMemberRecord(json.at("s"));
    if (!isIpv4Address(heartbeat.sender.peerEndpoint.address))
        throw nlohmann::json::other_error::create(501, "the sender has no IPv4 address", &json);
    heartbeat.digest = toUnsigned<std::uint64_t>(json.at("g"));
    heartbeat.changedRecords = decodeMembers(json);
    heartbeat.notices = decodeList<ServerDrainNotice>(json, "n", decodeServerNotice);
    heartbeat.closesLink = json.contains("x");
    return heartbeat;
}

std::vector<std::uint64_t> decodeBuckets(const nlohmann::json &json)
{
    std::vector<std::uint64_t> bucketDigests =
            decodeList<std::uint64_t>(json, "b", toUnsigned<std::uint64_t>);
    if (bucketDigests.size() > MaxBuckets)
        throw nlohmann::json::other_error::create(501, "too many buckets", &json);
    return bucketDigests;
}

MemberUpdate decodeMemberUpdate(const nlohmann::json &json)
{
    return {decodeMembers(json), decodeList<ServerDrainNotice>(json, "n", decodeServerNotice),
            decodeBuckets(json)};
}

} // namespace

std::string_view memberStateName(MemberState state)
{
    return enumName(MemberStateNames, state);
}

bool isMemberName(std::string_view name)
{
    const auto printable = [](char byte) { return byte > ' ' && byte <= '~'; };
    return !name.empty() && name.size() <= MaxNameBytes
           && std::all_of(name.begin(), name.end(), printable);
}

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
    const nlohmann::json json = parseCbor(bytes);
    if (!json.is_object())
        return tl::unexpected(std::string("the frame is not a CBOR map, or is nested too deeply"));
    try {
        const std::string type = json.at(TypeKey).get<std::string>();
        if (type == HeartbeatType)
            return decodeHeartbeat(json);
        if (type == MemberDigestType)
            return MemberDigest{decodeBuckets(json)};
        if (type == MemberUpdateType)
            return decodeMemberUpdate(json);
        if (type == ConfigurationRequestType)
            return ConfigurationRequest{toUnsigned<std::uint64_t>(json.at("v"))};
        if (type == ConfigurationOfferType)
            return ConfigurationOffer{toUnsigned<std::uint64_t>(json.at("v")),
                                      json.at("c").get<std::string>()};
        if (type == ConfigurationChunkRequestType)
            return ConfigurationChunkRequest{json.at("n").get<std::vector<std::string>>()};
        if (type == ConfigurationChunkOfferType)
            return ConfigurationChunkOffer{json.at("n").get<std::string>(),
                                           json.at("c").get<std::string>()};
        if (type == OrderOutcomeOfferType)
            return decodeOrderOutcome(json);
        if (type == CrashNoticeType)
            return decodeCrashNotice(json);
        if (type == DispatchUpdateType)
            return decodeDispatchUpdate(json);
        if (type == LoadUpdateType)
            return decodeLoadUpdate(json);
        if (type == ObjectAnnouncementType)
            return decodeObjectAnnouncement(json);
        if (type == ObjectRequestType)
            return ObjectRequest{toUnsigned<std::uint8_t>(json.at("k")),
                                 json.at("n").get<std::vector<std::string>>()};
        if (type == ObjectOfferType)
            return decodeObjectOffer(json);
        return tl::unexpected(std::string("unknown message type"));
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
