#pragma once

#include <cstdint>
#include <random>

namespace dotterel {

/// Random number generator interface. It is injected so that a run can be reproduced from its seed.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// Returns a uniformly distributed 64-bit number.
    virtual std::uint64_t next() = 0;

    /// Returns a number in [0, \a bound); \a bound must be positive.
    std::uint64_t nextBelow(std::uint64_t bound) { return this->next() % bound; }

    /// Returns a number in [0, 1).
    double nextDouble() { return static_cast<double>(this->next() >> 11U) * 0x1.0p-53; }
};

/// Mersenne Twister with a given seed.
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine(seed)
    {}

    std::uint64_t next() override { return this->engine(); }

private:
    std::mt19937_64 engine;
};

} // namespace dotterel
