#include "gateway/host_entries.h"

#include "core/json_input.h"
#include "protocol/peer_message.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr const char *EntryRole = "entry";

} // namespace

std::string encodeHostEntry(const HostListEntry &host)
{
    const nlohmann::json json = {{"failure_domain", host.failureDomain},
                                 {"address", host.address},
                                 {"peer_port", host.peerPort},
                                 {"leaving", host.leaving}};
    return json.dump();
}

tl::expected<HostListEntry, std::string> decodeHostEntry(const std::string &name,
                                                         const std::string &text)
{
    const auto json = parseJson(text);
    if (!json)
        return tl::unexpected(json.error());
    try {
        HostListEntry host;
        host.id = name;
        host.role = EntryRole;
        host.failureDomain = json->at("failure_domain").get<std::string>();
        host.address = json->at("address").get<std::string>();
        if (!isMemberName(name) || !isMemberName(host.failureDomain))
            return tl::unexpected(std::string("a name is empty, too long or not printable ASCII "
                                              "without spaces"));
        if (!isIpv4Address(host.address))
            return tl::unexpected("\"" + shortened(host.address) + "\" is not an IPv4 address");
        host.peerPort = toUnsigned<std::uint16_t>(json->at("peer_port"));
        host.leaving = json->value("leaving", false);
        return host;
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

CollectionHostList::CollectionHostList(CollectionStore &store, const Clock &clock, Metrics &metrics,
                                       EventLog &log)
    : store(store)
    , clock(clock)
    , metrics(metrics)
    , log(log)
{}

CollectionHostList::~CollectionHostList()
{
    *this->alive = false;
}

void CollectionHostList::readHosts(Callback callback)
{
    this->store.list(Collection::Hosts, ListFreshness::MayBeStale,
                     [this, alive = this->alive, callback = std::move(callback)](
                             const CollectionStore::PageResult &listResult) {
                         if (!*alive)
                             return;
                         if (listResult)
                             callback(this->decodeHosts(*listResult), this->clock.now());
                         else
                             callback(tl::unexpected(listResult.error()), this->clock.now());
                     });
}

std::vector<HostListEntry> CollectionHostList::decodeHosts(const CollectionPage &page)
{
    std::vector<HostListEntry> hosts;
    std::map<std::string, std::uint64_t> rejected;
    for (const CollectionObject &object : page.objects) {
        if (const auto host = decodeHostEntry(object.name, object.text)) {
            hosts.push_back(*host);
        } else {
            rejected[object.name] = object.revision;
            this->reportRejected(object, object.defect.empty() ? host.error() : object.defect);
        }
    }
    this->rejectedRevisions = std::move(rejected);
    return hosts;
}

void CollectionHostList::reportRejected(const CollectionObject &object, const std::string &reason)
{
    // The list is read every second.
    const auto reported = this->rejectedRevisions.find(object.name);
    if (reported != this->rejectedRevisions.end() && reported->second == object.revision)
        return;
    this->metrics.count(Counter::ObjectsRejected, 1);
    this->log.write(Event::ObjectRejected,
                    {{"collection", std::string(collectionName(Collection::Hosts))},
                     {"object", std::string(shortened(object.name))},
                     {"revision", static_cast<std::int64_t>(object.revision)},
                     {"error", std::string(shortened(reason))}});
}

} // namespace dotterel
