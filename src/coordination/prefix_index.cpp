#include "coordination/prefix_index.h"

namespace dotterel {

PrefixIndex::PrefixIndex(std::size_t capacity)
    : capacity(capacity)
{}

void PrefixIndex::note(const std::vector<std::uint64_t> &hashes, const ServerId &server)
{
    for (const std::uint64_t hash : hashes) {
        const auto found = this->blocks.find(hash);
        if (found != this->blocks.end()) {
            found->second.server = server;
            this->uses.splice(this->uses.end(), this->uses, found->second.use);
            continue;
        }
        if (this->blocks.size() >= this->capacity) {
            this->blocks.erase(this->uses.front());
            this->uses.pop_front();
        }
        this->uses.push_back(hash);
        this->blocks.emplace(hash, Block{server, std::prev(this->uses.end())});
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

void PrefixIndex::forget(const ServerId &server)
{
    for (auto block = this->blocks.begin(); block != this->blocks.end();) {
        if (block->second.server != server) {
            ++block;
            continue;
        }
        this->uses.erase(block->second.use);
        block = this->blocks.erase(block);
    }
}

} // namespace dotterel
