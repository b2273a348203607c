#include "entry_host/prompt_news_channel.h"

namespace dotterel {

namespace {

/// How long items are batched. Shorter than a forward pass of any engine, so that hosts rarely
/// choose the same engine without knowing of each other; longer than the interval between items of
/// one event loop iteration.
constexpr Duration BatchInterval = std::chrono::milliseconds(3);
/// Keeps a datagram within one packet.
constexpr std::size_t MaxItemsPerDatagram = 16;

} // namespace

PromptNewsChannel::PromptNewsChannel(EventLoop &loop, const Endpoint &endpoint,
                                     std::uint32_t sender, Listener listener)
    : loop(loop)
    , listener(std::move(listener))
    , socket(loop, endpoint, [this](std::string_view bytes) { this->onDatagram(bytes); })
{
    this->pendingUpdate.sender = sender;
}

void PromptNewsChannel::tell(const PromptNewsItem &item)
{
    this->pendingUpdate.items.push_back(item);
    if (this->pendingUpdate.items.size() >= MaxItemsPerDatagram) {
        this->flush();
        return;
    }
    if (this->flushScheduled)
        return;
    this->flushScheduled = true;
    this->flushTimer = this->loop.after(BatchInterval, [this] { this->flush(); });
}

void PromptNewsChannel::flush()
{
    this->flushScheduled = false;
    if (this->pendingUpdate.items.empty())
        return;
    if (!this->peers.empty()) {
        const std::string bytes = encodePromptNews(this->pendingUpdate);
        // A lost update is corrected when the prompt expires, so a full send queue is not an error.
        for (const Endpoint &peer : this->peers)
            this->socket.send(peer, bytes);
    }
    this->pendingUpdate.items.clear();
}

void PromptNewsChannel::onDatagram(std::string_view bytes)
{
    const tl::expected<PromptNews, std::string> update = decodePromptNews(bytes);
    if (update && update->sender != this->pendingUpdate.sender)
        this->listener(*update);
}

} // namespace dotterel
