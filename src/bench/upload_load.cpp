#include "bench/upload_load.h"

#include "transport/socket_options.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string_view>

namespace dotterel {

namespace {

constexpr std::uint64_t ChunkBytes = 16'384;
constexpr std::string_view ChunkHead = "4000\r\n"; // ChunkBytes in hexadecimal.
constexpr std::string_view StatusLineStart = "HTTP/1.1 ";
constexpr std::size_t StatusDigits = 3;

} // namespace

/// One connection and its request.
class UploadLoad::Client
{
public:
    Client(UploadLoad &owner, std::uint64_t id)
        : owner(owner)
        , id(id)
        , stream(bufferevent_socket_new(owner.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(this->stream, &Client::onReadable, &Client::onWritable,
                          &Client::onStreamEvent, this);
        const std::string head =
                "POST " + owner.plan.path
                + " HTTP/1.1\r\nHost: upload\r\nTransfer-Encoding: chunked\r\n\r\n";
        bufferevent_write(this->stream, head.data(), head.size());
        owner.report.sentBytes += head.size();
        bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    }

    ~Client() { bufferevent_free(this->stream); }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Returns false if the connection cannot be opened.
    bool connect()
    {
        const std::optional<sockaddr_in> address = toSocketAddress(this->owner.plan.target);
        return address
               && bufferevent_socket_connect(this->stream,
                                             reinterpret_cast<const sockaddr *>(&*address),
                                             sizeof(*address))
                          == 0;
    }

private:
    static void onReadable(bufferevent *stream, void *self)
    {
        auto *client = static_cast<Client *>(self);
        evbuffer *input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        client->response += bytes;
        if (client->isWritten())
            client->endIfAnswered();
    }

    static void onWritable(bufferevent *stream, void *self)
    {
        auto *client = static_cast<Client *>(self);
        if (client->isWritten())
            return client->endIfAnswered();
        const std::string &chunk = client->owner.chunk;
        bufferevent_write(stream, chunk.data(), chunk.size());
        client->owner.report.sentBytes += chunk.size();
        client->bodyBytes += ChunkBytes;
        if (!client->isWritten())
            return;
        constexpr std::string_view LastChunk = "0\r\n\r\n";
        bufferevent_write(stream, LastChunk.data(), LastChunk.size());
        client->owner.report.sentBytes += LastChunk.size();
    }

    static void onStreamEvent(bufferevent * /*stream*/, short what, void *self)
    {
        auto *client = static_cast<Client *>(self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            client->end();
    }

    bool isWritten() const { return this->bodyBytes >= this->owner.plan.bodyBytes; }

    std::optional<int> status() const
    {
        if (this->response.size() < StatusLineStart.size() + StatusDigits
            || this->response.compare(0, StatusLineStart.size(), StatusLineStart) != 0)
            return std::nullopt;
        return std::atoi(this->response.c_str() + StatusLineStart.size());
    }

    void endIfAnswered()
    {
        if (this->status())
            this->end();
    }

    void end() { this->owner.ended(this->id, this->status()); }

    UploadLoad &owner;
    std::uint64_t id;
    bufferevent *stream;
    std::uint64_t bodyBytes = 0; ///< Handed to the connection.
    std::string response;
};

UploadLoad::UploadLoad(EventLoop &loop, UploadLoadPlan plan, Finished finished)
    : loop(loop)
    , plan(std::move(plan))
    , finished(std::move(finished))
    , chunk(std::string(ChunkHead) + std::string(ChunkBytes, 'u') + "\r\n")
    , began(loop.now())
    , timer(loop.after(this->plan.timeout, [this] { this->finish(); }))
{
    for (std::uint64_t id = 0; id < this->plan.clients; ++id) {
        this->clients.push_back(std::make_shared<Client>(*this, id));
        if (!this->clients.back()->connect())
            this->ended(id, std::nullopt);
    }
}

UploadLoad::~UploadLoad() = default;

void UploadLoad::ended(std::uint64_t client, std::optional<int> status)
{
    if (!this->clients[client])
        return;
    if (status)
        ++this->report.responses[*status];
    this->loop.disposeLater(std::move(this->clients[client]));
    if (++this->endedClients == this->plan.clients)
        this->finish();
}

void UploadLoad::finish()
{
    std::uint64_t answered = 0;
    for (const auto &[status, count] : this->report.responses)
        answered += count;
    this->report.unanswered = this->plan.clients - answered;
    this->report.elapsed = toSeconds(this->loop.now() - this->began);
    // Clients may end while the constructor runs.
    this->timer = this->loop.after(Duration::zero(), [this] { this->finished(this->report); });
}

} // namespace dotterel
