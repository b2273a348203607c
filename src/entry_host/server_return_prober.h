#pragma once

#include "coordination/backend_directory.h"
#include "coordination/server_return.h"
#include "protocol/peer_message.h"
#include "transport/http_client.h"

#include <map>
#include <memory>
#include <vector>

namespace dotterel {

/// Asks leaving servers whether they are back. Each is asked by one entry host, once a second.
class ServerReturnProber
{
public:
    ServerReturnProber(EventLoop &loop, HttpClient &client, HostIdentity self,
                       BackendDirectory &directory);

    /// Asks those of \a draining that are this host's among \a live, if it is time. Called often.
    void maintain(const std::vector<ServerId> &draining, const std::vector<MemberRecord> &live);

private:
    void probe(const ServerId &server);

    EventLoop &loop;
    HttpClient &client;
    HostIdentity self;
    BackendDirectory &directory;
    ServerReturnDetector decision;
    TimePoint nextProbe;
    std::map<ServerId, std::unique_ptr<HttpFetch>> probes;
};

} // namespace dotterel
