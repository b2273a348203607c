#include "bench/engine_model.h"

#include "coordination/load_estimate.h"

#include <algorithm>

namespace dotterel::bench {

namespace {

/// Work that is looked at when that of higher priority does not fit into memory.
constexpr int MostSkipped = 16;

/// Tokens that work holds when its answer is whole.
std::uint64_t needOf(const EngineWork &work)
{
    return work.tokens + work.answerTokens;
}

bool isLong(const EngineWork &work)
{
    return work.tokens > LongPromptTokens;
}

} // namespace

EngineModel::EngineModel(EventQueue &queue, const EngineSettings &settings,
                         std::uint64_t blockTokens, PrefillDone prefillDone)
    : queue(queue)
    , settings(settings)
    , blockTokens(blockTokens)
    , prefillDone(std::move(prefillDone))
{}

void EngineModel::submit(const EngineWork &work)
{
    Item item;
    item.work = work;
    item.sequence = this->nextSequence++;
    this->waiting.insert({{work.priority, item.sequence}, work.id});
    this->items.emplace(work.id, std::move(item));
    this->next();
}

void EngineModel::release(std::uint64_t id)
{
    const auto found = this->items.find(id);
    if (found == this->items.end())
        return;
    const Item &item = found->second;
    this->memory -= item.memory;
    if (item.started && isLong(item.work))
        this->longReserved -= needOf(item.work);
    this->waiting.erase({{item.work.priority, item.sequence}, id});
    this->items.erase(found);
    this->next();
}

void EngineModel::setState(EngineState newState)
{
    this->currentState = newState;
    if (newState == EngineState::Dead) {
        ++this->life;
        this->busy = false;
        this->items.clear();
        this->waiting.clear();
        this->cached.clear();
        this->cacheUses.clear();
        this->memory = 0;
        this->longReserved = 0;
    }
    this->next();
}

LoadReport EngineModel::report() const
{
    LoadReport report;
    report.queuedByBand.resize(LengthBandCount);
    for (const auto &[order, id] : this->waiting) {
        const Item &item = this->items.at(id);
        const std::uint64_t left = item.work.tokens - item.done;
        report.queuedPromptTokens += left;
        report.queuedByBand[static_cast<std::size_t>(lengthBand(item.work.tokens))] += left;
    }
    report.runningStreams = this->items.size();
    report.memoryTokensUsed = this->memory;
    return report;
}

void EngineModel::next()
{
    if (this->busy || this->currentState != EngineState::Working)
        return;
    Item *item = this->pick();
    if (item == nullptr)
        return;
    this->busy = true;
    const std::uint64_t tokens = this->chunkOf(*item);
    const double seconds = this->settings.prefill.seconds(
            static_cast<double>(tokens), static_cast<double>(item->work.context + item->done));
    this->queue.after(fromSeconds(seconds * this->slowness),
                      [this, id = item->work.id, tokens, life = this->life] {
                          if (life == this->life)
                              this->finishChunk(id, tokens);
                      });
}

void EngineModel::finishChunk(std::uint64_t id, std::uint64_t tokens)
{
    this->busy = false;
    this->processed += tokens;
    const auto found = this->items.find(id);
    if (found != this->items.end()) {
        Item &item = found->second;
        item.done += tokens;
        if (item.done >= item.work.tokens) {
            item.prefilled = true;
            this->waiting.erase({{item.work.priority, item.sequence}, id});
            this->cache(item.work);
            this->prefillDone(id);
        }
    }
    this->next();
}

EngineModel::Item *EngineModel::pick()
{
    int skipped = 0;
    for (const auto &[order, id] : this->waiting) {
        Item &item = this->items.at(id);
        if ((item.started || this->start(item)) && this->makeRoom(item))
            return &item;
        if (++skipped == MostSkipped)
            return nullptr;
    }
    return nullptr;
}

bool EngineModel::start(Item &item)
{
    const std::uint64_t need = needOf(item.work);
    const auto longRoom = static_cast<std::uint64_t>(
            static_cast<double>(this->settings.memoryTokens) * this->settings.longMemoryShare);
    if (isLong(item.work)) {
        // A prompt that fills the long share alone may still start where no other is.
        if (this->longReserved > 0 && this->longReserved + need > longRoom)
            return false;
        this->longReserved += need;
    } else {
        if (this->memory + need > this->settings.memoryTokens)
            return false;
        item.memory = need;
        this->memory += need;
    }
    item.started = true;
    // At least one token is computed, which gives the first one of the answer.
    item.done = std::min(this->cachedTokens(item.work), item.work.tokens - 1);
    this->peak = std::max(this->peak, this->memory);
    return true;
}

bool EngineModel::makeRoom(Item &item)
{
    const std::uint64_t end = item.done + this->chunkOf(item);
    const std::uint64_t need = end < item.work.tokens ? end : needOf(item.work);
    if (item.memory >= need)
        return true;
    if (this->memory + need - item.memory > this->settings.memoryTokens)
        return false;
    this->memory += need - item.memory;
    item.memory = need;
    this->peak = std::max(this->peak, this->memory);
    return true;
}

std::uint64_t EngineModel::chunkOf(const Item &item) const
{
    return std::min(this->settings.chunkTokens, item.work.tokens - item.done);
}

std::uint64_t EngineModel::cachedTokens(const EngineWork &work) const
{
    std::uint64_t tokens = 0;
    for (const std::uint64_t hash : work.prefixHashes) {
        if (this->cached.count(hash) == 0)
            break;
        tokens += this->blockTokens;
    }
    return tokens;
}

void EngineModel::cache(const EngineWork &work)
{
    for (const std::uint64_t hash : work.prefixHashes) {
        const auto found = this->cached.find(hash);
        if (found != this->cached.end()) {
            this->cacheUses.splice(this->cacheUses.end(), this->cacheUses, found->second);
            continue;
        }
        this->cacheUses.push_back(hash);
        this->cached.emplace(hash, std::prev(this->cacheUses.end()));
    }
    while (this->cached.size() * this->blockTokens > this->settings.prefixCacheTokens) {
        this->cached.erase(this->cacheUses.front());
        this->cacheUses.pop_front();
    }
}

} // namespace dotterel::bench
