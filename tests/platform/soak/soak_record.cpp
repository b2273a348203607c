#include "platform/soak/soak_record.h"

#include <algorithm>

namespace dotterel::soak {

namespace {

/// Returns true if \a status guarantees that the request has not run and will not run.
bool guaranteesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool runsAtMostOnce(RequestKind kind)
{
    return kind == RequestKind::Order || kind == RequestKind::Story;
}

} // namespace

std::string SoakRecord::plainBody(const std::string &id)
{
    return "answer to " + id;
}

std::string SoakRecord::event(const std::string &id, int eventNumber)
{
    return "id: " + std::to_string(eventNumber) + "\ndata: " + id + "/"
           + std::to_string(eventNumber) + "\n\n";
}

void SoakRecord::note(const std::string &description)
{
    this->broken.push_back(description);
}

const SoakRequest *SoakRecord::find(const std::string &id) const
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

void SoakRecord::onSent(const std::string &id, const SoakRequest &request)
{
    this->known[id] = request;
}

void SoakRecord::onRan(const std::string &id, const std::string &server)
{
    const auto found = this->known.find(id);
    if (found == this->known.end())
        return this->note("unknown request: " + server + " ran " + id + ", which no caller sent");
    SoakRequest &request = found->second;
    ++request.runs;
    if (runsAtMostOnce(request.kind) && request.runs > 1)
        this->note("duplicate execution: " + id + " ran again on " + server);
    if (request.status && guaranteesNotRun(*request.status))
        this->note("refusal: " + id + " ran on " + server + " after its caller got status "
                   + std::to_string(*request.status));
}

void SoakRecord::onAnswered(const std::string &id, const HttpResponse &response)
{
    SoakRequest &request = this->known.at(id);
    request.ended = true;
    request.status = response.status;
    if (response.status == 200)
        return this->checkAnswer(id, request, response);
    if (guaranteesNotRun(response.status)) {
        if (request.runs > 0)
            this->note("refusal: " + id + " got status " + std::to_string(response.status)
                       + " but had run");
        if (response.header("Retry-After").empty())
            this->note("refusal: response to " + id + " has no Retry-After header");
    }
    if (!response.header("X-Server-Seal").empty())
        this->note("wrong response: error response to " + id + " has a server's signature");
    const auto process = std::make_pair(request.host, request.incarnation);
    if (request.kind != RequestKind::Probe) {
        if (response.status == 404 || response.status == 401)
            this->note("rejected: " + id + " got status " + std::to_string(response.status));
    } else if (response.status == 404 && this->versions[process] >= request.version) {
        this->note("configuration: host " + std::to_string(request.host)
                   + " went back from version " + std::to_string(this->versions[process])
                   + " to one older than " + std::to_string(request.version));
    }
}

void SoakRecord::checkAnswer(const std::string &id, const SoakRequest &request,
                             const HttpResponse &response)
{
    std::string expected;
    if (request.kind == RequestKind::Stream || request.kind == RequestKind::Story) {
        for (int eventNumber = 1; eventNumber <= StreamEvents; ++eventNumber)
            expected += event(id, eventNumber);
    } else {
        expected = plainBody(id);
    }
    if (response.body != expected)
        this->note("wrong response: " + id + " got the body \"" + response.body + "\"");
    if (response.header("X-Server-Seal") != "seal-" + id)
        this->note("wrong response: " + id + " got the signature \""
                   + response.header("X-Server-Seal") + "\"");
    if (request.runs == 0)
        this->note("wrong response: " + id + " succeeded but never ran");
    if (request.kind == RequestKind::Probe) {
        std::uint64_t &newestVersion = this->versions[{request.host, request.incarnation}];
        newestVersion = std::max(newestVersion, request.version);
    }
}

void SoakRecord::onFailed(const std::string &id, const HttpFailure &failure)
{
    SoakRequest &request = this->known.at(id);
    request.ended = true;
    if (request.disturbed)
        return;
    if (failure.kind == HttpFailureKind::Timeout)
        this->note("timeout: " + id + " had no final response by its deadline");
    if (failure.kind == HttpFailureKind::ConnectionLost && request.runs > 0)
        this->note("lost response: " + id
                   + " ran, but its connection was closed without a response");
}

void SoakRecord::onHostDisturbed(std::size_t host)
{
    for (auto &[id, request] : this->known) {
        if (request.host == host && !request.ended)
            request.disturbed = true;
    }
}

std::size_t SoakRecord::ended(int status) const
{
    return static_cast<std::size_t>(
            std::count_if(this->known.begin(), this->known.end(), [status](const auto &entry) {
                return entry.second.ended && entry.second.status.value_or(0) == status;
            }));
}

} // namespace dotterel::soak
