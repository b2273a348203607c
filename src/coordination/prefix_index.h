#pragma once

#include "core/identity.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace dotterel {

/// A bounded memory of which server last processed which prompt prefix. A hint only.
class PrefixIndex
{
public:
    /// Keeps at most \a capacity prefix blocks, the most recently used ones.
    explicit PrefixIndex(std::size_t capacity);

    /// \a server processed a prompt with the blocks \a hashes.
    void note(const std::vector<std::uint64_t> &hashes, const ServerId &server);

    /// Returns how many leading blocks of \a hashes \a server may still have.
    std::size_t matchedBlocks(const std::vector<std::uint64_t> &hashes,
                              const ServerId &server) const;

    /// Forgets what is known of \a server, after a gap in its events or a restart.
    void forget(const ServerId &server);

    std::size_t size() const { return this->blocks.size(); }

private:
    struct Block
    {
        ServerId server;
        std::list<std::uint64_t>::iterator use;
    };

    std::size_t capacity;
    std::unordered_map<std::uint64_t, Block> blocks;
    std::list<std::uint64_t> uses; ///< The least recently used first.
};

} // namespace dotterel
