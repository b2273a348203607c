#include "platform/soak/soak_record.h"

#include <algorithm>

namespace dotterel::soak {

namespace {

/// Statuses that promise that a request has not run and will not.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool runsOnce(RequestKind kind)
{
    return kind == RequestKind::Order || kind == RequestKind::Story;
}

} // namespace

std::string SoakRecord::plainBody(const std::string &id)
{
    return "answer to " + id;
}

std::string SoakRecord::event(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "/" + std::to_string(number)
           + "\n\n";
}

void SoakRecord::note(const std::string &finding)
{
    this->broken.push_back(finding);
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
        return this->note("unasked: " + server + " ran " + id + ", which no caller sent");
    SoakRequest &request = found->second;
    ++request.runs;
    if (runsOnce(request.kind) && request.runs > 1)
        this->note("twice: " + id + " ran again at " + server);
    if (request.status && promisesNotRun(*request.status))
        this->note("refused: " + id + " ran at " + server + " after its status "
                   + std::to_string(*request.status));
}

void SoakRecord::onAnswered(const std::string &id, const HttpResponse &response)
{
    SoakRequest &request = this->known.at(id);
    request.ended = true;
    request.status = response.status;
    if (response.status == 200)
        return this->checkAnswer(id, request, response);
    if (promisesNotRun(response.status)) {
        if (request.runs > 0)
            this->note("refused: " + id + " got " + std::to_string(response.status)
                       + " and had run");
        if (response.header("Retry-After").empty())
            this->note("refused: " + id + " was not told when to return");
    }
    if (!response.header("X-Server-Seal").empty())
        this->note("mixed: " + id + " failed with a server's signature");
    const auto process = std::make_pair(request.host, request.incarnation);
    if (request.kind != RequestKind::Probe) {
        if (response.status == 404 || response.status == 401)
            this->note("denied: " + id + " got " + std::to_string(response.status));
    } else if (response.status == 404 && this->versions[process] >= request.version) {
        this->note("configuration: host " + std::to_string(request.host) + " went back from "
                   + std::to_string(this->versions[process]) + " to before "
                   + std::to_string(request.version));
    }
}

void SoakRecord::checkAnswer(const std::string &id, const SoakRequest &request,
                             const HttpResponse &response)
{
    std::string expected;
    if (request.kind == RequestKind::Stream || request.kind == RequestKind::Story) {
        for (int number = 1; number <= StreamEvents; ++number)
            expected += event(id, number);
    } else {
        expected = plainBody(id);
    }
    if (response.body != expected)
        this->note("mixed: " + id + " got \"" + response.body + "\"");
    if (response.header("X-Server-Seal") != "seal-" + id)
        this->note("mixed: " + id + " got the signature \"" + response.header("X-Server-Seal")
                   + "\"");
    if (request.runs == 0)
        this->note("mixed: " + id + " succeeded and never ran");
    if (request.kind == RequestKind::Probe) {
        std::uint64_t &seen = this->versions[{request.host, request.incarnation}];
        seen = std::max(seen, request.version);
    }
}

void SoakRecord::onFailed(const std::string &id, const HttpFailure &failure)
{
    SoakRequest &request = this->known.at(id);
    request.ended = true;
    if (request.disturbed)
        return;
    if (failure.kind == HttpFailureKind::Timeout)
        this->note("late: " + id + " had no final answer at its deadline");
    if (failure.kind == HttpFailureKind::ConnectionLost && request.runs > 0)
        this->note("lost: " + id + " ran and its connection was closed without an answer");
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
