#include "coordination/prefix_index.h"

namespace dotterel {

PrefixIndex::PrefixIndex(std::size_t capacity)
    : capacity(capacity)
{}

void PrefixIndex::recordPrompt(const std::vector<std::uint64_t> &hashes, const ServerId &server)
{
    for (const std::uint64_t hash : hashes) {
        const auto found = this->blocks.find(hash);
        if (found != this->blocks.end()) {
            found->second.server = server;
            this->lruOrder.splice(this->lruOrder.end(), this->lruOrder, found->second.lruPosition);
            continue;
        }
        if (this->blocks.size() >= this->capacity) {
            this->blocks.erase(this->lruOrder.front());
            this->lruOrder.pop_front();
        }
        this->lruOrder.push_back(hash);
        this->blocks.emplace(hash, Block{server, std::prev(this->lruOrder.end())});
    }
}

std::size_t PrefixIndex::matchedBlocks(const std::vector<std::uint64_t> &hashes,
                                       const ServerId &server) const
{
    std::size_t matchedCount = 0;
    for (const std::uint64_t hash : hashes) {
        const auto found = this->blocks.find(hash);
        if (found == this->blocks.end() || found->second.server != server)
            break;
        ++matchedCount;
    }
    return matchedCount;
}

void PrefixIndex::removeServer(const ServerId &server)
{
    for (auto block = this->blocks.begin(); block != this->blocks.end();) {
        if (block->second.server != server) {
            ++block;
            continue;
        }
        this->lruOrder.erase(block->second.lruPosition);
        block = this->blocks.erase(block);
    }
}

} // namespace dotterel
