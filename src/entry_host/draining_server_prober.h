#pragma once

#include "coordination/backend_directory.h"
#include "coordination/server_return.h"
#include "protocol/peer_message.h"
#include "transport/http_client.h"

#include <map>
#include <memory>
#include <vector>

namespace dotterel {

/// Probes draining servers for whether they accept work again. Each server is probed by one entry
/// host, once a second.
class DrainingServerProber
{
public:
    DrainingServerProber(EventLoop &loop, HttpClient &client, HostIdentity ownIdentity,
                         BackendDirectory &directory);

    /// Probes those of \a draining that are assigned to this host, given the \a live hosts. To be
    /// called periodically; does nothing if the last probe was less than a second ago.
    void probeIfDue(const std::vector<ServerId> &draining, const std::vector<MemberRecord> &live);

private:
    void probe(const ServerId &server);

    EventLoop &loop;
    HttpClient &client;
    HostIdentity ownIdentity;
    BackendDirectory &directory;
    ServerReturnDetector returnDecision;
    TimePoint nextProbe;
    std::map<ServerId, std::unique_ptr<HttpFetch>> probes;
};

} // namespace dotterel
