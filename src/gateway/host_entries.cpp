#include "gateway/host_entries.h"

#include "core/json_input.h"
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

std::optional<HostListEntry> decodeHostEntry(const std::string &name, const std::string &text)
{
    const nlohmann::json json = parseJsonOrDiscard(text);
    try {
        HostListEntry host;
        host.id = name;
        host.role = EntryRole;
        host.failureDomain = json.at("failure_domain").get<std::string>();
        host.address = json.at("address").get<std::string>();
        host.peerPort = toUnsigned<std::uint16_t>(json.at("peer_port"));
        host.leaving = json.value("leaving", false);
        return host;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

CollectionHostList::CollectionHostList(CollectionStore &store, const Clock &clock)
    : store(store)
    , clock(clock)
{}

void CollectionHostList::readHosts(Callback callback)
{
    const Clock &hostClock = this->clock;
    this->store.list(Collection::Hosts, ListFreshness::MayBeStale,
                     [callback = std::move(callback), &hostClock](const auto &listResult) {
                         if (!listResult) {
                             callback(tl::unexpected(listResult.error()), hostClock.now());
                             return;
                         }
                         std::vector<HostListEntry> hosts;
                         for (const CollectionObject &object : listResult->objects) {
                             if (const auto host = decodeHostEntry(object.name, object.text))
                                 hosts.push_back(*host);
                         }
                         callback(hosts, hostClock.now());
                     });
}

} // namespace dotterel
