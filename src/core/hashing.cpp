#include "core/hashing.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace dotterel {

std::uint64_t hash64(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint32_t hash32(std::string_view bytes)
{
    return static_cast<std::uint32_t>(hash64(bytes));
}

std::string hash128Hex(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return toHex(hash.high64) + toHex(hash.low64);
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &members)
{
    std::size_t owner = 0;
    std::uint64_t ownerWeight = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::string weightInput(members[i]);
        weightInput.push_back('\0');
        weightInput.append(key);
        const std::uint64_t weight = hash64(weightInput);
        if (i == 0 || weight > ownerWeight) {
            owner = i;
            ownerWeight = weight;
        }
    }
    return owner;
}

} // namespace dotterel
