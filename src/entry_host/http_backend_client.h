#pragma once

#include "core/event_log.h"
#include "entry_host/backend_client.h"
#include "transport/http_client.h"

#include <list>
#include <memory>
#include <unordered_map>

namespace dotterel {

/// Runs attempts over HTTP. Each attempt has its own connection; the verdict of a failed attempt
/// depends on whether any byte of the request was sent.
class HttpBackendClient : public BackendClient
{
public:
    HttpBackendClient(EventLoop &loop, HttpClient &client, HostIdentity identity,
                      AttemptListener &listener);
    ~HttpBackendClient() override;

    void send(const AttemptRequest &order) override;
    void pause(const AttemptId &attempt, bool paused) override;
    void cancel(const AttemptId &attempt) override;

private:
    class Attempt;

    std::unique_ptr<Attempt> removeAttempt(const AttemptId &attempt);
    void sendCancellation(const Endpoint &server, const AttemptId &attempt);

    EventLoop &loop;
    HttpClient &client;
    HostIdentity identity;
    AttemptListener &listener;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts;
    std::list<std::unique_ptr<HttpFetch>> cancellations;
};

} // namespace dotterel
