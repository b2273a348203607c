#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Returns the 64-bit xxHash3 of \a bytes.
std::uint64_t hash64(std::string_view bytes);

/// Returns the low 32 bits of the 64-bit xxHash3 of \a bytes, for messages whose size matters.
std::uint32_t hash32(std::string_view bytes);

/// Returns the 128-bit xxHash3 of \a bytes as 32 hexadecimal digits.
std::string hash128Hex(std::string_view bytes);

/// Returns \a value as 16 hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Returns the index into \a members that owns \a key by rendezvous hashing.
/// Removing a member reassigns only the keys that it owned. \a members must not be empty.
std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &members);

} // namespace dotterel
