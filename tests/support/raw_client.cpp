#include "support/raw_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace dotterel::support {

RawClient::RawClient(EventLoop &loop, const Endpoint &endpoint)
    : stream(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(this->stream, &RawClient::readable, nullptr, &RawClient::event, this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    bufferevent_socket_connect_hostname(this->stream, nullptr, AF_INET, endpoint.address.c_str(),
                                        endpoint.port);
    const int smallBuffer = 64 * 1024;
    setsockopt(bufferevent_getfd(this->stream), SOL_SOCKET, SO_RCVBUF, &smallBuffer,
               sizeof(smallBuffer));
}

RawClient::~RawClient()
{
    this->close();
}

void RawClient::send(const std::string &bytes)
{
    bufferevent_write(this->stream, bytes.data(), bytes.size());
}

void RawClient::close()
{
    if (this->stream != nullptr)
        bufferevent_free(this->stream);
    this->stream = nullptr;
}

void RawClient::pause()
{
    bufferevent_disable(this->stream, EV_READ);
}

void RawClient::resume()
{
    bufferevent_enable(this->stream, EV_READ);
}

void RawClient::readable(bufferevent *stream, void *self)
{
    evbuffer *buffer = bufferevent_get_input(stream);
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    static_cast<RawClient *>(self)->input += bytes;
}

void RawClient::event(bufferevent * /*stream*/, short what, void *self)
{
    RawClient *client = static_cast<RawClient *>(self);
    client->ended = client->ended || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
}

} // namespace dotterel::support
