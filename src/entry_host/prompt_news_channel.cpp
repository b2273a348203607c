#include "entry_host/prompt_news_channel.h"

namespace dotterel {

namespace {

/// How long items are batched. Shorter than a forward pass of any engine, so that hosts rarely
/// choose the same engine without knowing of each other; longer than the interval between items of
/// one event loop iteration.
constexpr Duration GatherTime = std::chrono::milliseconds(3);
/// Keeps a datagram within one packet.
constexpr std::size_t MostItemsAtOnce = 16;

} // namespace

PromptNewsChannel::PromptNewsChannel(EventLoop &loop, const Endpoint &endpoint,
                                     std::uint32_t sender, Listener listener)
    : loop(loop)
    , listener(std::move(listener))
    , socket(loop, endpoint, [this](std::string_view bytes) { this->onDatagram(bytes); })
{
    this->pending.senderHash = sender;
}

void PromptNewsChannel::tell(const PromptUpdate &item)
{
    this->pending.updates.push_back(item);
    if (this->pending.updates.size() >= MostItemsAtOnce) {
        this->flush();
        return;
    }
    if (this->armed)
        return;
    this->armed = true;
    this->timer = this->loop.after(GatherTime, [this] { this->flush(); });
}

void PromptNewsChannel::flush()
{
    this->armed = false;
    if (this->pending.updates.empty())
        return;
    if (!this->peers.empty()) {
        const std::string bytes = encodePromptUpdates(this->pending);
        // A lost update is corrected when the prompt expires, so a full send queue is not an error.
        for (const Endpoint &peer : this->peers)
            this->socket.send(peer, bytes);
    }
    this->pending.updates.clear();
}

void PromptNewsChannel::onDatagram(std::string_view bytes)
{
    const tl::expected<PromptUpdateBatch, std::string> news = decodePromptUpdates(bytes);
    if (news && news->senderHash != this->pending.senderHash)
        this->listener(*news);
}

} // namespace dotterel
