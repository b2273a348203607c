#include "entry_host/prompt_news_channel.h"

namespace dotterel {

namespace {

/// How long items gather. Shorter than a pass of any engine, so that hosts rarely choose the same
/// engine unseen; longer than the gap between items of one turn of the loop.
constexpr Duration GatherTime = std::chrono::milliseconds(3);
/// A datagram stays within one packet.
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
        // News that is lost is corrected when the prompt expires, so that a full queue is no error.
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
