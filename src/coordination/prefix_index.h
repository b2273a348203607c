#pragma once

#include "core/identity.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace dotterel {

/// Bounded LRU index of the server that last processed each block of a prompt prefix. It is only a
/// hint: the server may have evicted the block.
class PrefixIndex
{
public:
    /// Creates an index of the \a capacity most recently used blocks.
    explicit PrefixIndex(std::size_t capacity);

    /// Records that \a server processed a prompt with the blocks \a hashes.
    void recordPrompt(const std::vector<std::uint64_t> &hashes, const ServerId &server);

    /// Returns the number of leading blocks of \a hashes that \a server may have cached.
    std::size_t matchedBlocks(const std::vector<std::uint64_t> &hashes,
                              const ServerId &server) const;

    /// Removes all blocks of \a server, after a gap in its events or a restart.
    void removeServer(const ServerId &server);

    std::size_t size() const { return this->blocks.size(); }

private:
    struct Block
    {
        ServerId server;
        std::list<std::uint64_t>::iterator lruPosition;
    };

    std::size_t capacity;
    std::unordered_map<std::uint64_t, Block> blocks;
    std::list<std::uint64_t> lruOrder; ///< In LRU order, least recently used first.
};

} // namespace dotterel
