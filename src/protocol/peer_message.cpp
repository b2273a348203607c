#include "protocol/peer_message.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

// One-letter keys and types keep heartbeats small.
constexpr const char *TypeKey = "t";
constexpr const char *HeartbeatType = "h";
constexpr const char *RequestType = "r";
constexpr const char *OfferType = "o";
constexpr const char *OutcomeType = "q";
constexpr const char *LoadType = "l";
constexpr const char *DigestType = "g";
constexpr const char *UpdateType = "u";
constexpr const char *ChunkRequestType = "k";
constexpr const char *ChunkType = "b";
constexpr const char *CrashType = "c";
constexpr const char *NewsType = "n";
constexpr const char *AnnouncementType = "a";
constexpr const char *ObjectRequestType = "w";
constexpr const char *ObjectOfferType = "f";

constexpr std::size_t MostFingerprintBytes = 64;
constexpr std::size_t MostCrashes = 8;

/// Flag in the byte that also encodes the state of a member.
constexpr unsigned LeavingBit = 8;
constexpr std::size_t MostNameBytes = 255;
constexpr std::size_t MostRecords = 2'000;
constexpr std::size_t MostBuckets = 64;

constexpr std::array<EnumName<MemberState>, 4> MemberStateNames = {{
        {MemberState::Alive, "alive"},
        {MemberState::Suspected, "suspected"},
        {MemberState::Dead, "dead"},
        {MemberState::Left, "left"},
}};

/// Rejects deeply nested frames, which could overflow the stack: the decoder recurses at each
/// level.
class DepthLimit : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(std::int64_t /*value*/) override { return true; }
    bool number_unsigned(std::uint64_t /*value*/) override { return true; }
    bool number_float(double /*value*/, const std::string & /*text*/) override { return true; }
    bool string(std::string & /*value*/) override { return true; }
    bool binary(binary_t & /*value*/) override { return true; }
    bool key(std::string & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return ++this->depth <= DeepestFrame; }
    bool start_array(std::size_t /*size*/) override { return ++this->depth <= DeepestFrame; }
    bool end_object() override { return this->leave(); }
    bool end_array() override { return this->leave(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    static constexpr int DeepestFrame = 8;

    bool leave()
    {
        --this->depth;
        return true;
    }

    int depth = 0;
};

template <typename Number>
Number checkedNumber(const nlohmann::json &json)
{
    if (!json.is_number_unsigned()
        || json.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw nlohmann::json::other_error::create(501, "number out of range", &json);
    return json.get<Number>();
}

std::string checkedName(const nlohmann::json &json)
{
    std::string name = json.get<std::string>();
    const auto printable = [](char byte) { return byte > ' ' && byte <= '~'; };
    if (name.empty() || name.size() > MostNameBytes
        || !std::all_of(name.begin(), name.end(), printable))
        throw nlohmann::json::other_error::create(
                501, "name is empty, too long or not printable ASCII without spaces", &json);
    return name;
}

nlohmann::json encodeRecord(const MemberRecord &record)
{
    const unsigned flags = static_cast<unsigned>(record.state) | (record.leaving ? LeavingBit : 0U);
    return nlohmann::json::array({record.identity.host, record.identity.incarnation,
                                  record.identity.failureDomain, record.peers.address,
                                  record.peers.port, record.counter, flags,
                                  record.configurationVersion});
}

MemberRecord decodeRecord(const nlohmann::json &json)
{
    MemberRecord record;
    record.identity = {checkedName(json.at(0)), checkedNumber<Incarnation>(json.at(1)),
                       checkedName(json.at(2))};
    record.peers = {checkedName(json.at(3)), checkedNumber<std::uint16_t>(json.at(4))};
    record.counter = checkedNumber<std::uint64_t>(json.at(5));
    const unsigned flags = checkedNumber<unsigned>(json.at(6));
    if (flags >= 2 * LeavingBit || (flags & (LeavingBit - 1)) >= MemberStateNames.size())
        throw nlohmann::json::other_error::create(501, "unknown member state or flag", &json);
    record.state = static_cast<MemberState>(flags & (LeavingBit - 1));
    record.leaving = (flags & LeavingBit) != 0;
    record.configurationVersion = checkedNumber<std::uint64_t>(json.at(7));
    return record;
}

nlohmann::json encodeNotice(const ServerNotice &notice)
{
    return nlohmann::json::array({notice.server, notice.sequence, notice.draining, notice.byList});
}

ServerNotice decodeNotice(const nlohmann::json &json)
{
    return {checkedName(json.at(0)), checkedNumber<std::uint64_t>(json.at(1)),
            json.at(2).get<bool>(), json.at(3).get<bool>()};
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
    if (!list.is_array() || list.size() > MostRecords)
        throw nlohmann::json::other_error::create(501, "not a list, or more than 2000 items",
                                                  &json);
    for (const nlohmann::json &item : list)
        items.push_back(decoder(item));
    return items;
}

nlohmann::json encode(const Heartbeat &heartbeat)
{
    nlohmann::json json = {{TypeKey, HeartbeatType},
                           {"s", encodeRecord(heartbeat.sender)},
                           {"g", heartbeat.digest}};
    if (!heartbeat.news.empty())
        json["m"] = encodeList(heartbeat.news, encodeRecord);
    if (!heartbeat.notices.empty())
        json["n"] = encodeList(heartbeat.notices, encodeNotice);
    if (heartbeat.unlinking)
        json["x"] = true;
    return json;
}

nlohmann::json encode(const MemberDigest &digest)
{
    return {{TypeKey, DigestType}, {"b", digest.buckets}};
}

nlohmann::json encode(const MemberUpdate &update)
{
    return {{TypeKey, UpdateType},
            {"m", encodeList(update.members, encodeRecord)},
            {"n", encodeList(update.notices, encodeNotice)},
            {"b", update.buckets}};
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
        throw nlohmann::json::other_error::create(0, "fingerprint or crash list too long", &json);
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

nlohmann::json encode(const LoadNews &news)
{
    nlohmann::json loads = nlohmann::json::array();
    for (const ServerLoad &load : news.loads)
        loads.push_back({load.server, load.queuedTokens, load.queuedByBand});
    return {{TypeKey, LoadType}, {"l", loads}};
}

LoadNews decodeLoadNews(const nlohmann::json &json)
{
    LoadNews news;
    for (const nlohmann::json &row : json.at("l")) {
        news.loads.push_back({row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint64_t>(),
                              row.at(2).get<std::vector<std::uint64_t>>()});
    }
    return news;
}

nlohmann::json encode(const ObjectAnnouncement &announcement)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const AnnouncedObject &object : announcement.objects)
        rows.push_back(nlohmann::json::array({object.name, object.revision, object.removed}));
    return {{TypeKey, AnnouncementType}, {"k", announcement.collection}, {"o", rows}};
}

nlohmann::json encode(const ObjectRequest &request)
{
    return {{TypeKey, ObjectRequestType}, {"k", request.collection}, {"n", request.names}};
}

nlohmann::json encode(const ObjectOffer &offer)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const OfferedObject &object : offer.objects)
        rows.push_back(
                nlohmann::json::array({object.name, object.revision, object.removed, object.text}));
    return {{TypeKey, ObjectOfferType}, {"k", offer.collection}, {"o", rows}};
}

ObjectAnnouncement decodeAnnouncement(const nlohmann::json &json)
{
    ObjectAnnouncement announcement;
    announcement.collection = json.at("k").get<std::uint8_t>();
    for (const nlohmann::json &row : json.at("o"))
        announcement.objects.push_back({row.at(0).get<std::string>(),
                                        checkedNumber<std::uint64_t>(row.at(1)),
                                        row.at(2).get<bool>()});
    return announcement;
}

ObjectOffer decodeObjectOffer(const nlohmann::json &json)
{
    ObjectOffer offer;
    offer.collection = json.at("k").get<std::uint8_t>();
    for (const nlohmann::json &row : json.at("o"))
        offer.objects.push_back({row.at(0).get<std::string>(),
                                 checkedNumber<std::uint64_t>(row.at(1)), row.at(2).get<bool>(),
                                 row.at(3).get<std::string>()});
    return offer;
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
    heartbeat.sender = decodeRecord(json.at("s"));
    heartbeat.digest = checkedNumber<std::uint64_t>(json.at("g"));
    heartbeat.news = decodeList<MemberRecord>(json, "m", decodeRecord);
    heartbeat.notices = decodeList<ServerNotice>(json, "n", decodeNotice);
    heartbeat.unlinking = json.contains("x");
    return heartbeat;
}

std::vector<std::uint64_t> decodeBuckets(const nlohmann::json &json)
{
    std::vector<std::uint64_t> buckets =
            decodeList<std::uint64_t>(json, "b", checkedNumber<std::uint64_t>);
    if (buckets.size() > MostBuckets)
        throw nlohmann::json::other_error::create(501, "too many buckets", &json);
    return buckets;
}

MemberUpdate decodeUpdate(const nlohmann::json &json)
{
    return {decodeList<MemberRecord>(json, "m", decodeRecord),
            decodeList<ServerNotice>(json, "n", decodeNotice), decodeBuckets(json)};
}

} // namespace

std::string_view memberStateName(MemberState state)
{
    return enumName(MemberStateNames, state);
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
    DepthLimit depthLimit;
    if (!nlohmann::json::sax_parse(bytes, &depthLimit, nlohmann::json::input_format_t::cbor))
        return tl::unexpected(std::string("the frame is not valid CBOR or is nested too deeply"));
    const nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
    if (!json.is_object())
        return tl::unexpected(std::string("the frame is not a CBOR map"));
    try {
        const std::string type = json.at(TypeKey).get<std::string>();
        if (type == HeartbeatType)
            return decodeHeartbeat(json);
        if (type == DigestType)
            return MemberDigest{decodeBuckets(json)};
        if (type == UpdateType)
            return decodeUpdate(json);
        if (type == RequestType)
            return ConfigurationRequest{checkedNumber<std::uint64_t>(json.at("v"))};
        if (type == OfferType)
            return ConfigurationOffer{checkedNumber<std::uint64_t>(json.at("v")),
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
        if (type == LoadType)
            return decodeLoadNews(json);
        if (type == AnnouncementType)
            return decodeAnnouncement(json);
        if (type == ObjectRequestType)
            return ObjectRequest{json.at("k").get<std::uint8_t>(),
                                 json.at("n").get<std::vector<std::string>>()};
        if (type == ObjectOfferType)
            return decodeObjectOffer(json);
        return tl::unexpected(std::string("unknown message type"));
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
