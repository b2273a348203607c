#include "coordination/request_entry.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Minimum cost, since even the shortest request takes a connection and a slot in a batch.
constexpr std::uint64_t MinCostTokens = 1'000;

} // namespace

std::uint64_t RequestEntry::retryCost() const
{
    return std::max(this->request.promptTokens, MinCostTokens);
}

PlacementQuery RequestEntry::query() const
{
    PlacementQuery query;
    query.request = this->request.id;
    query.workspace = this->request.workspace;
    query.pool = this->request.pool;
    query.promptTokens = this->request.promptTokens;
    query.maxTokens = this->request.maxTokens;
    query.prefixHashes = this->request.prefixHashes;
    query.deadline = this->deadline;
    query.excluded = this->excluded;
    return query;
}

} // namespace dotterel
